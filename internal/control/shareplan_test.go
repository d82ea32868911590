package control

import (
	"slices"
	"testing"
)

// TestWaterFill guards against shares that exceed the limit, starve VMs with little demand or leave capacity unused.
func TestWaterFill(t *testing.T) {
	for name, c := range map[string]struct {
		available       int
		demand, current []int
		epoch           int
		want            []int
	}{
		"all demand fits; the rest is even": {12, []int{1, 2, 3}, []int{0, 0, 0}, 0, []int{3, 4, 5}},
		"small demand is met first":         {12, []int{1, 20, 30}, []int{0, 0, 0}, 0, []int{1, 5, 6}},
		"nothing available":                 {0, []int{5, 5}, []int{0, 0}, 0, []int{0, 0}},
		"an odd remainder does not move":    {5, []int{9, 9}, []int{3, 2}, 0, []int{3, 2}},
		"fewer than VMs":                    {2, []int{9, 9, 9}, []int{0, 0, 0}, 0, []int{0, 1, 1}},
		"fewer than VMs, next turn":         {2, []int{9, 9, 9}, []int{0, 1, 1}, 1, []int{1, 1, 0}},
		"only VMs with demand take turns":   {1, []int{0, 9, 9}, []int{0, 0, 0}, 0, []int{0, 0, 1}},
		"no VM":                             {5, nil, nil, 3, []int{}},
	} {
		if got := waterFill(c.available, c.demand, c.current, c.epoch); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// TestPlanRow guards against plans that take shares from absent VMs, exceed the limit before a decrease is
// acknowledged, or move shares on every small change of demand.
func TestPlanRow(t *testing.T) {
	vm := func(demand, granted, reserved int) vmRowShare {
		return vmRowShare{present: true, demand: demand, granted: granted, reserved: reserved}
	}
	absent := vmRowShare{granted: 4, reserved: 6}
	for name, c := range map[string]struct {
		limit int
		vms   []vmRowShare
		want  []int
	}{
		"first grants":                             {8, []vmRowShare{vm(0, 0, 0), vm(0, 0, 0)}, []int{4, 4}},
		"an absent VM keeps its share":             {10, []vmRowShare{absent, vm(9, 0, 0)}, []int{4, 4}},
		"present VMs divide what absent VMs leave": {10, []vmRowShare{absent, vm(9, 4, 4), vm(9, 0, 0)}, []int{4, 2, 0}},
		"an odd remainder does not move":           {7, []vmRowShare{vm(5, 4, 4), vm(6, 3, 3)}, []int{4, 3}},
		"raise waits for the ack":                  {8, []vmRowShare{vm(0, 4, 4), vm(20, 4, 4)}, []int{1, 4}},
		"raise after the ack":                      {8, []vmRowShare{vm(0, 1, 1), vm(20, 4, 4)}, []int{1, 7}},
		"small change moves nothing":               {40, []vmRowShare{vm(30, 20, 20), vm(31, 20, 20)}, []int{20, 20}},
		"met demand moves nothing":                 {40, []vmRowShare{vm(1, 30, 30), vm(9, 10, 10)}, []int{30, 10}},
		"lower limit":                              {4, []vmRowShare{vm(9, 4, 4), vm(9, 4, 4)}, []int{2, 2}},
		"deleted row":                              {0, []vmRowShare{vm(9, 4, 4), absent}, []int{0, 4}},
		"requests from before the limit":           {6, []vmRowShare{{present: true, demand: 9, inFlight: 4}, vm(9, 0, 0)}, []int{1, 1}},
		"a new VM gets its reserve":                {8, []vmRowShare{vm(0, 8, 8), vm(0, 0, 0)}, []int{4, 0}},
		"a decreased share is granted again":       {8, []vmRowShare{vm(8, 2, 8), vm(0, 0, 0)}, []int{7, 0}},
	} {
		if got := planRow(c.limit, c.vms, 0); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
