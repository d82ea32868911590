package control

import (
	"fmt"
	"testing"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

func stepID(n uint64) StepID { return StepID{Row: "tutor", Step: n} }

func sample(n uint64, group string, member int) SampleID {
	return SampleID{Step: stepID(n), Group: group, Member: member}
}

// openStep opens a step and submits all of its groups, named g0, g1 and so on, through VM one.
func (d *driver) openStep(n uint64, groups, size int) Result {
	d.t.Helper()
	d.want(Command{OpenStep: &OpenStep{ID: stepID(n), Deadline: time.Hour, Groups: groups, GroupSize: size}}, "")
	c := &SubmitGroups{Step: stepID(n), VM: "one", Incarnation: 1}
	for i := range groups {
		c.Groups = append(c.Groups, Group{ID: fmt.Sprintf("g%d", i), Step: stepID(n), Size: size, Prompt: []byte("prompt")})
	}
	return d.want(Command{SubmitGroups: c}, "")
}

func (d *driver) finishSample(id SampleID, attempt uint64, vm api.VMID) bool {
	d.t.Helper()
	return d.want(Command{FinishSample: &FinishSample{
		ID: id, Attempt: attempt, VM: vm, Incarnation: 1, Digest: attempt, Versions: []api.WeightVersion{1},
	}}, "").Accepted
}

func (d *driver) ack(id SampleID, attempt uint64) int {
	d.t.Helper()
	return d.want(Command{Acknowledge: &Acknowledge{Step: id.Step, Samples: []SampleAck{{ID: id, Attempt: attempt}}}}, "").Count
}

func (d *driver) claim(vm api.VMID, since uint64) Result {
	d.t.Helper()
	return d.want(Command{ClaimGroups: &ClaimGroups{VM: vm, Incarnation: 1, Max: 10, Since: since}}, "")
}

func (d *driver) view(n uint64) StepView {
	v, _ := d.m.Step(stepID(n), d.now)
	return v
}

// TestStepListsOnlyCompleteGroups guards against groups that are delivered before all of their samples are finished.
func TestStepListsOnlyCompleteGroups(t *testing.T) {
	d := newDriver(t)
	if res := d.openStep(1, 2, 2); res.Count != 2 || len(res.Groups) != 2 || len(res.Groups[0].Pending) != 2 {
		t.Fatalf("submit: %+v", res)
	}
	d.finishSample(sample(1, "g0", 0), 1, "one")
	d.finishSample(sample(1, "g1", 1), 1, "one")
	if v := d.view(1); len(v.Finished) != 0 || v.Pending != 2 {
		t.Fatalf("view %+v", v)
	}
	d.finishSample(sample(1, "g0", 1), 1, "two")
	if v := d.view(1); len(v.Finished) != 2 || v.Finished[1].VM != "two" || v.Pending != 1 {
		t.Fatalf("view %+v", v)
	}
}

// TestFinishSampleAcceptsFirstAttemptOnly guards against two finishes of a sample that both count, after a resend, a
// reset or a second VM.
func TestFinishSampleAcceptsFirstAttemptOnly(t *testing.T) {
	d := newDriver(t)
	d.openStep(1, 1, 1)
	id := sample(1, "g0", 0)
	for range 2 {
		if !d.finishSample(id, 1, "one") {
			t.Fatal("the first attempt, or its resend, is refused")
		}
	}
	if d.finishSample(id, 1, "two") || d.finishSample(id, 2, "two") {
		t.Fatal("a second attempt is accepted")
	}
	reset := Command{ResetSample: &ResetSample{ID: id, Attempt: 1, Reason: "stale"}}
	for _, want := range []bool{true, false} {
		if d.want(reset, "").Accepted != want {
			t.Fatal("a reset does not take effect exactly once")
		}
	}
	if d.finishSample(id, 1, "one") || !d.finishSample(id, 2, "two") {
		t.Fatal("a finish counts for the wrong attempt")
	}
}

// TestAcknowledgeCountsOneAttemptPerSample guards against a sample that is consumed twice, and an acknowledgement that
// is lost because its attempt was reset after delivery.
func TestAcknowledgeCountsOneAttemptPerSample(t *testing.T) {
	tests := []struct {
		name  string
		reset bool
		acks  []uint64
		want  []int
	}{
		{"resend", false, []uint64{1, 1}, []int{1, 1}},
		{"never finished", false, []uint64{2, 1}, []int{0, 1}},
		{"reset after delivery", true, []uint64{1, 1, 2}, []int{1, 1, 0}},
		{"current attempt is pending", true, []uint64{2, 1}, []int{0, 1}},
		{"no attempt", false, []uint64{0}, []int{0}},
	}
	for _, tt := range tests {
		d := newDriver(t)
		d.openStep(1, 1, 1)
		id := sample(1, "g0", 0)
		d.finishSample(id, 1, "one")
		if tt.reset {
			d.want(Command{ResetSample: &ResetSample{ID: id, Attempt: 1}}, "")
		}
		for i, attempt := range tt.acks {
			if got := d.ack(id, attempt); got != tt.want[i] {
				t.Errorf("%s: acknowledgement %d of attempt %d counts %d, want %d", tt.name, i, attempt, got, tt.want[i])
			}
		}
		if tt.reset && d.finishSample(id, 2, "two") {
			t.Errorf("%s: a consumed sample is finished again", tt.name)
		}
	}
}

// TestVMLostReleasesGroups guards against samples that no VM generates after their VM is lost.
func TestVMLostReleasesGroups(t *testing.T) {
	d := newDriver(t)
	d.openStep(1, 2, 2)
	d.finishSample(sample(1, "g0", 0), 1, "one")
	d.finishSample(sample(1, "g0", 1), 1, "two")
	d.ack(sample(1, "g0", 1), 1)
	if res := d.claim("two", 0); len(res.Groups) != 0 {
		t.Fatalf("groups with a live owner are claimed: %+v", res.Groups)
	}
	d.want(Command{VMLost: &VMLost{VM: "one", Incarnation: 1}}, "")
	res := d.claim("two", 0)
	if len(res.Groups) != 2 || len(res.Groups[0].Pending) != 1 || res.Groups[0].Pending[0] != (PendingMember{0, 2}) ||
		len(res.Groups[1].Pending) != 2 || string(res.Groups[1].Prompt) != "prompt" {
		t.Fatalf("claimed %+v", res.Groups)
	}
	if again := d.claim("two", 0); len(again.Groups) != 2 {
		t.Fatalf("a resent claim after a lost response returns %d groups", len(again.Groups))
	}
	if again := d.claim("two", res.Revision); len(again.Groups) != 0 {
		t.Fatalf("a claim returns known groups: %+v", again.Groups)
	}
	d.finishSample(sample(1, "g1", 0), 1, "two")
	d.want(Command{ResetSample: &ResetSample{ID: sample(1, "g1", 0), Attempt: 1}}, "")
	again := d.claim("two", res.Revision)
	if len(again.Groups) != 1 || again.Groups[0].Pending[0] != (PendingMember{0, 2}) {
		t.Fatalf("the owner does not learn of a reset: %+v", again.Groups)
	}
}

// TestClaimGroupsInSeveralParts guards against groups that are skipped or assigned twice when one claim is too small
// for all of them.
func TestClaimGroupsInSeveralParts(t *testing.T) {
	d := newDriver(t)
	d.openStep(1, 7, 1)
	d.want(Command{VMLost: &VMLost{VM: "one", Incarnation: 1}}, "")
	seen := map[string]bool{}
	since := uint64(0)
	for range 4 {
		res := d.want(Command{ClaimGroups: &ClaimGroups{VM: "two", Incarnation: 1, Max: 2, Since: since}}, "")
		for _, g := range res.Groups {
			if seen[g.ID] {
				t.Errorf("group %s is given twice", g.ID)
			}
			seen[g.ID] = true
		}
		since = res.Revision
	}
	if len(seen) != 7 {
		t.Errorf("%d groups of 7 are claimed", len(seen))
	}
}

// TestOpenStepRejectsChangesAndDropsOldSteps guards against steps that change after they were opened, or that stay in
// the ledger forever.
func TestOpenStepRejectsChangesAndDropsOldSteps(t *testing.T) {
	d := newDriver(t)
	open := func(n uint64, groups int) Command {
		return Command{OpenStep: &OpenStep{ID: stepID(n), Deadline: time.Hour, Groups: groups, GroupSize: 2}}
	}
	d.want(open(1, 2), "")
	d.want(open(1, 2), "")
	d.want(open(1, 3), errs.Conflict)
	d.want(open(2, 0), errs.InvalidArgument)
	d.want(open(2, maxSamplesPerStep), errs.InvalidArgument)
	d.openStep(2, 1, 2)
	if !d.view(1).Open {
		t.Fatal("step 1 left the ledger when step 2 was opened")
	}
	d.want(open(3, 2), "")
	if _, ok := d.m.Step(stepID(1), d.now); ok {
		t.Fatal("step 1 is in the ledger after step 3 was opened")
	}
	d.want(open(1, 2), errs.Conflict)
	d.want(Command{Acknowledge: &Acknowledge{Step: stepID(1)}}, errs.NotFound)
	d.now = d.now.Add(time.Hour)
	if d.view(2).Open {
		t.Fatal("step 2 is open past its deadline")
	}
	d.want(open(10, 2), "")
	if n := d.m.state.ledger.promptBytes; n != 0 {
		t.Fatalf("%d bytes of prompts are kept", n)
	}
}

// TestSubmitGroupsResendAndValidation guards against groups that a resend changes or reassigns, and groups that do not
// fit the step.
func TestSubmitGroupsResendAndValidation(t *testing.T) {
	d := newDriver(t)
	d.want(Command{OpenStep: &OpenStep{ID: stepID(1), Deadline: time.Hour, Groups: 2, GroupSize: 2}}, "")
	submit := func(vm api.VMID, groups ...Group) Command {
		return Command{SubmitGroups: &SubmitGroups{Step: stepID(1), VM: vm, Incarnation: 1, Groups: groups}}
	}
	a, b, c := Group{ID: "a", Size: 2, Prompt: []byte("p")}, Group{ID: "b", Size: 2, Prompt: []byte("p")}, Group{ID: "c", Size: 2, Prompt: []byte("p")}
	d.want(submit("one", a), "")
	if res := d.want(submit("one", a), ""); res.Count != 1 || len(res.Groups) != 1 {
		t.Fatalf("a resend to the owner: %+v", res)
	}
	if res := d.want(submit("two", a, b), ""); res.Count != 2 || len(res.Groups) != 1 || res.Groups[0].ID != "b" {
		t.Fatalf("a resend through another VM: %+v", res)
	}
	withOwners := submit("three", a, b)
	withOwners.SubmitGroups.Owners = []GroupOwner{{"four", 1}, {"five", 1}}
	if res := d.want(withOwners, ""); res.Count != 2 || len(d.claim("four", 0).Groups) != 0 {
		t.Fatalf("a resend moves groups to other owners: %+v", res)
	}
	d.want(submit("one", c), errs.InvalidArgument)
	d.want(submit("one", c, c), errs.InvalidArgument)
	other := a
	other.Prompt = []byte("q")
	d.want(submit("one", other), errs.Conflict)
	other.Size = 3
	d.want(submit("one", other), errs.InvalidArgument)
	big := a
	big.Prompt = make([]byte, maxPromptBytes+1)
	d.want(submit("one", big), errs.PayloadTooLarge)
	d.want(Command{SubmitGroups: &SubmitGroups{Step: stepID(9)}}, errs.NotFound)
}

// TestSubmitGroupsAssignsOwnersInTurn guards against groups whose owners never learn of them.
func TestSubmitGroupsAssignsOwnersInTurn(t *testing.T) {
	d := newDriver(t)
	d.want(Command{OpenStep: &OpenStep{ID: stepID(1), Deadline: time.Hour, Groups: 3, GroupSize: 1}}, "")
	c := &SubmitGroups{Step: stepID(1), VM: "one", Incarnation: 1, Owners: []GroupOwner{{"one", 1}, {"two", 1}}}
	for _, id := range []string{"a", "b", "c"} {
		c.Groups = append(c.Groups, Group{ID: id, Size: 1, Prompt: []byte("p")})
	}
	before := d.m.ClaimRevision()
	if res := d.want(Command{SubmitGroups: c}, ""); res.Count != 3 || len(res.Groups) != 2 {
		t.Fatalf("submit: %+v", res)
	}
	if d.m.ClaimRevision() == before {
		t.Fatal("the other owner is not told to claim")
	}
	if res := d.claim("two", 0); len(res.Groups) != 1 || res.Groups[0].ID != "b" {
		t.Fatalf("the other owner gets %+v", res.Groups)
	}
}
