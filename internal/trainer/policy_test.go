package trainer

import (
	"reflect"
	"testing"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/control"
	"filbertledge/internal/table"
)

// TestStaleness guards against samples from weights that the row does not admit.
func TestStaleness(t *testing.T) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	// Version 10 was published 5 min ago, 9 was 20 min ago, 8 was 40 min ago; 8 is the oldest kept.
	weights := control.ModelWeights{Newest: 10, PublishTimes: []time.Time{
		now.Add(-40 * time.Minute), now.Add(-20 * time.Minute), now.Add(-5 * time.Minute),
	}}
	versions := func(v ...api.WeightVersion) []api.WeightVersion { return v }
	tests := []struct {
		name     string
		row      table.Row
		versions []api.WeightVersion
		admitted bool
	}{
		{"newest", table.Row{}, versions(10), true},
		{"one behind without allowance", table.Row{}, versions(9, 10), false},
		{"at the bound", table.Row{MaxStalenessVersions: 2}, versions(8, 10), true},
		{"past the bound", table.Row{MaxStalenessVersions: 2}, versions(7, 10), false},
		{"a bound above all versions", table.Row{MaxStalenessVersions: 50}, versions(1), true},
		{"newer than known here", table.Row{}, versions(11), true},
		{"not reported", table.Row{MaxStalenessVersions: 50}, nil, false},
		{"version zero", table.Row{MaxStalenessVersions: 50}, versions(0, 10), false},
		{"age within the bound", table.Row{MaxStalenessVersions: 50, MaxStalenessTime: 5 * time.Minute}, versions(9), true},
		{"age past the bound", table.Row{MaxStalenessVersions: 50, MaxStalenessTime: 5*time.Minute - 1}, versions(9), false},
		{"newest has no age", table.Row{MaxStalenessVersions: 50, MaxStalenessTime: 1}, versions(10), true},
		{"age of version 8", table.Row{MaxStalenessVersions: 50, MaxStalenessTime: 20 * time.Minute}, versions(8), true},
		{"age of version 7", table.Row{MaxStalenessVersions: 50, MaxStalenessTime: 39 * time.Minute}, versions(7), false},
		{"before the kept versions", table.Row{MaxStalenessVersions: 50, MaxStalenessTime: 39 * time.Minute}, versions(2), false},
		{"of unknown age", table.Row{MaxStalenessVersions: 50, MaxStalenessTime: 24 * time.Hour}, versions(6), false},
		{"oldest of known age", table.Row{MaxStalenessVersions: 50, MaxStalenessTime: 24 * time.Hour}, versions(7), true},
		{"below the row's weights", table.Row{MaxStalenessVersions: 5, Weights: table.WeightVersionRange{Min: 9}}, versions(8), false},
		{"above the row's weights", table.Row{MaxStalenessVersions: 5, Weights: table.WeightVersionRange{Max: 9}}, versions(9, 10), false},
		{"within the row's weights", table.Row{MaxStalenessVersions: 5, Weights: table.WeightVersionRange{Min: 8, Max: 9}}, versions(8, 9), true},
	}
	for _, tt := range tests {
		if reason := refuse(tt.row, weights, tt.versions, now); (reason == "") != tt.admitted {
			t.Errorf("%s: refused %q, want admitted %v", tt.name, reason, tt.admitted)
		}
		oldest := oldestAllowed(tt.row, weights, now)
		if tt.admitted && tt.versions[0] < oldest {
			t.Errorf("%s: dispatch would refuse version %d, oldest %d", tt.name, tt.versions[0], oldest)
		}
	}
}

// TestLabels guards against versions that are left out of a sample's label, reused KV cache included.
func TestLabels(t *testing.T) {
	labels := []api.PieceLabel{
		{Version: 6, Cached: true}, {Version: 7, Tokens: 1}, {Version: 7, Tokens: 2}, {Version: 8, Tokens: 1}, {Version: 7, Tokens: 1},
	}
	want := []api.PieceLabel{{Version: 6, Cached: true}, {Version: 7, Tokens: 3}, {Version: 8, Tokens: 1}, {Version: 7, Tokens: 1}}
	if got := mergeLabels(labels); !reflect.DeepEqual(got, want) {
		t.Errorf("merged %+v", got)
	}
	if got := versionsOf(labels); !reflect.DeepEqual(got, []api.WeightVersion{6, 7, 8}) {
		t.Errorf("versions %v", got)
	}
}

// TestPredict guards against predictions that ignore the row's history or pass the prompt's own limit.
func TestPredict(t *testing.T) {
	p := newPredictor()
	short, limited := []byte(`{"messages":[]}`), []byte(`{"max_tokens":4}`)
	if got := p.predict("a", short); got != defaultLength {
		t.Errorf("without history: %d", got)
	}
	if got := p.predict("a", limited); got != 4 {
		t.Errorf("without history, limited: %d", got)
	}
	for i := range 3 * keptLengths {
		p.observe("a", short, i%100+1)
	}
	if got := p.predict("a", short); got < 80 || got > 100 {
		t.Errorf("with lengths of 1 to 100: %d", got)
	}
	if got := p.predict("b", short); got != defaultLength {
		t.Errorf("another row: %d", got)
	}
	if got := p.predict("a", limited); got != 4 {
		t.Errorf("with history, limited: %d", got)
	}
}

func queued(q *rowQueue, name string, step uint64, predicted ...int) {
	for i, n := range predicted {
		q.push(&job{id: control.SampleID{Step: control.StepID{Row: q.row, Step: step}, Group: name, Member: i}, predicted: n})
	}
}

// TestOrder guards against long members that start last, and later steps that overtake earlier ones.
func TestOrder(t *testing.T) {
	q := &rowQueue{row: "tutor"}
	queued(q, "later", 2, 900)
	queued(q, "short", 1, 10, 30)
	queued(q, "long", 1, 500)
	q.ready(time.Now())
	var got []int
	for len(q.heap) > 0 {
		if j := q.next(); j != nil {
			got = append(got, j.predicted)
		}
	}
	if !reflect.DeepEqual(got, []int{500, 30, 10, 900}) {
		t.Errorf("order %v", got)
	}
}

// TestDeficitRoundRobin guards against a row with long members that takes more than its share of tokens.
func TestDeficitRoundRobin(t *testing.T) {
	long, short := &rowQueue{row: "long"}, &rowQueue{row: "short"}
	for i := range 200 {
		queued(long, string(rune('a'+i)), 1, 2000)
		queued(short, string(rune('a'+i)), 1, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50)
	}
	tokens := map[api.RowName]int{}
	for range 1000 {
		for _, q := range []*rowQueue{long, short} {
			q.ready(time.Now())
			for len(q.heap) > 0 {
				j := q.next()
				if j == nil {
					break
				}
				tokens[q.row] += j.predicted
			}
		}
		if len(long.heap) == 0 || len(short.heap) == 0 {
			break
		}
	}
	if d := tokens["long"] - tokens["short"]; d > 2000 || d < -2000 {
		t.Errorf("tokens %v differ by more than one long member", tokens)
	}
}
