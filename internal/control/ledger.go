package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

// Limits of the sample ledger.
const (
	maxSamplesPerStep = 1 << 16
	maxPromptBytes    = 64 << 10
	maxTotalPrompts   = 64 << 20 // total size of all prompts in the ledger
	maxGroupIDBytes   = 128
	maxStepDeadline   = 24 * time.Hour
	maxSampleVersions = 64
	maxClaimedGroups  = 64
	maxClaimedBytes   = 2 << 20 // total size of the prompts in one result
	retainedSteps     = 2       // per row
	minStepDeadline   = time.Millisecond
)

type memberState uint8

const (
	memberPending memberState = iota
	memberFinished
	memberAcknowledged
)

// member is one sample of a group. Invariant: every attempt below Attempt was finished once, and Attempt decreases only
// when an earlier attempt is acknowledged.
type member struct {
	State    memberState         `cbor:"1,keyasint"`
	Attempt  uint64              `cbor:"2,keyasint"` // current attempt; once acknowledged, the acknowledged one
	Holder   vmIncarnation       `cbor:"3,keyasint"`
	Digest   uint64              `cbor:"4,keyasint"`
	Versions []api.WeightVersion `cbor:"5,keyasint"`
}

type group struct {
	ID      string        `cbor:"1,keyasint"`
	Prompt  []byte        `cbor:"2,keyasint"`
	Digest  uint64        `cbor:"3,keyasint"` // digest of the prompt
	Owner   vmIncarnation `cbor:"4,keyasint"` // zero if the group has no live owner
	Members []member      `cbor:"5,keyasint"`
	// Revision is the value of ledger.revision when the group was last assigned to an owner, lost its owner or got a
	// pending member.
	Revision uint64 `cbor:"6,keyasint"`
}

type step struct {
	ID        StepID    `cbor:"1,keyasint"`
	Opening   OpenStep  `cbor:"2,keyasint"`
	Deadline  time.Time `cbor:"3,keyasint"`
	GroupList []*group  `cbor:"4,keyasint"` // in submission order
	byID      map[string]*group
}

// ledger holds the samples of the most recent steps of each row.
type ledger struct {
	rows     map[api.RowName]map[uint64]*step
	revision uint64
	// claimRevision is the revision of the last change after which ClaimGroups may return something new.
	claimRevision uint64
	promptBytes   int
}

func newLedger() ledger { return ledger{rows: map[api.RowName]map[uint64]*step{}} }

func (l *ledger) step(id StepID) (*step, bool) {
	st, ok := l.rows[id.Row][id.Step]
	return st, ok
}

func (l *ledger) find(id SampleID) (*step, *group, *member) {
	st, ok := l.step(id.Step)
	if !ok {
		return nil, nil, nil
	}
	g, ok := st.byID[id.Group]
	if !ok || id.Member < 0 || id.Member >= len(g.Members) {
		return st, g, nil
	}
	return st, g, &g.Members[id.Member]
}

func (l *ledger) remove(st *step) {
	for _, g := range st.GroupList {
		l.promptBytes -= len(g.Prompt)
	}
	delete(l.rows[st.ID.Row], st.ID.Step)
}

func (l *ledger) removeRow(row api.RowName) {
	for _, st := range l.rows[row] {
		l.remove(st)
	}
	delete(l.rows, row)
}

// steps returns all steps in a fixed order, because the state machine must be deterministic.
func (l *ledger) steps() []*step {
	var out []*step
	for _, row := range slices.Sorted(maps.Keys(l.rows)) {
		for _, number := range slices.Sorted(maps.Keys(l.rows[row])) {
			out = append(out, l.rows[row][number])
		}
	}
	return out
}

func (s *state) openStep(o OpenStep) Result {
	if res, ok := validateOpenStep(o); !ok {
		return res
	}
	if st, ok := s.ledger.step(o.ID); ok {
		if st.Opening != o {
			return failedResult(errs.Conflict, "use the next step number", "step %d of row %q is open with other content", o.ID.Step, o.ID.Row)
		}
		return Result{}
	}
	steps := s.ledger.rows[o.ID.Row]
	for number := range steps {
		if number > o.ID.Step && number-o.ID.Step >= retainedSteps {
			return failedResult(errs.Conflict, "use a higher step number", "step %d of row %q is no longer in the ledger", o.ID.Step, o.ID.Row)
		}
	}
	for number, st := range steps {
		if o.ID.Step >= retainedSteps && number <= o.ID.Step-retainedSteps {
			s.ledger.remove(st)
		}
	}
	if steps == nil {
		steps = map[uint64]*step{}
		s.ledger.rows[o.ID.Row] = steps
	}
	steps[o.ID.Step] = &step{ID: o.ID, Opening: o, Deadline: s.now.Add(o.Deadline), byID: map[string]*group{}}
	return Result{Accepted: true}
}

func validateOpenStep(o OpenStep) (Result, bool) {
	switch {
	case o.ID.Row == "":
		return failedResult(errs.InvalidArgument, "name the row", "the step has no row"), false
	case o.Deadline < minStepDeadline || o.Deadline > maxStepDeadline:
		return failedResult(errs.InvalidArgument, "use up to 24 h", "the deadline %v is out of range", o.Deadline), false
	case o.Groups < 1 || o.GroupSize < 1 || o.Groups > maxSamplesPerStep || o.GroupSize > maxSamplesPerStep,
		o.Groups*o.GroupSize > maxSamplesPerStep:
		return failedResult(errs.InvalidArgument, "use smaller steps", "%d groups of %d are out of range; at most %d samples are allowed",
			o.Groups, o.GroupSize, maxSamplesPerStep), false
	default:
		return Result{}, true
	}
}

func stepNotFound(id StepID) Result {
	return failedResult(errs.NotFound, "open the step", "step %d of row %q is not in the ledger", id.Step, id.Row)
}

func sampleNotFound(id SampleID) Result {
	return failedResult(errs.NotFound, "fetch the samples again", "sample %d of group %q of step %d of row %q is not in the ledger",
		id.Member, id.Group, id.Step.Step, id.Step.Row)
}

func (s *state) finishSample(f FinishSample) Result {
	_, _, m := s.ledger.find(f.ID)
	if m == nil {
		return sampleNotFound(f.ID)
	}
	if len(f.Versions) > maxSampleVersions {
		return failedResult(errs.InvalidArgument, "generate the sample again", "the sample has %d weight versions; at most %d are stored",
			len(f.Versions), maxSampleVersions)
	}
	holder := vmIncarnation{f.VM, f.Incarnation}
	if m.State == memberFinished && m.Attempt == f.Attempt && m.Holder == holder && m.Digest == f.Digest {
		return Result{Accepted: true} // a resend
	}
	if m.State != memberPending || m.Attempt != f.Attempt {
		return Result{}
	}
	m.State, m.Holder, m.Digest, m.Versions = memberFinished, holder, f.Digest, f.Versions
	return Result{Accepted: true}
}

func (s *state) resetSample(r ResetSample) Result {
	_, g, m := s.ledger.find(r.ID)
	if m == nil {
		return sampleNotFound(r.ID)
	}
	if m.State != memberFinished || m.Attempt != r.Attempt {
		return Result{}
	}
	s.ledger.reset(g, m)
	return Result{Accepted: true}
}

func (l *ledger) reset(g *group, m *member) {
	*m = member{Attempt: m.Attempt + 1}
	l.bumpRevision(g)
	l.claimRevision = l.revision
}

// bumpRevision marks a group as changed, so that the next ClaimGroups of its owner returns it.
func (l *ledger) bumpRevision(g *group) {
	l.revision++
	g.Revision = l.revision
}

func (s *state) acknowledge(a Acknowledge) Result {
	if _, ok := s.ledger.step(a.Step); !ok {
		return stepNotFound(a.Step)
	}
	for _, sample := range a.Samples {
		if sample.ID.Step != a.Step {
			return failedResult(errs.InvalidArgument, "acknowledge each step on its own", "the samples belong to several steps")
		}
		if _, _, m := s.ledger.find(sample.ID); m == nil {
			return sampleNotFound(sample.ID)
		}
	}
	res := Result{}
	for _, sample := range a.Samples {
		_, g, m := s.ledger.find(sample.ID)
		held := m.view(sample.ID)
		if !m.acknowledge(sample.Attempt) {
			continue
		}
		res.Count++
		if held.VM != "" {
			res.ReleasedSamples = append(res.ReleasedSamples, held)
		}
		s.ledger.freePrompt(g)
	}
	return res
}

// acknowledge reports whether the sample counts as consumed by this attempt. Attempts below the current one are
// accepted too: they were finished and may have been delivered before they were reset.
func (m *member) acknowledge(attempt uint64) bool {
	switch {
	case m.State == memberAcknowledged:
		return m.Attempt == attempt
	case attempt == 0 || attempt > m.Attempt, attempt == m.Attempt && m.State != memberFinished:
		return false
	default:
		*m = member{State: memberAcknowledged, Attempt: attempt}
		return true
	}
}

// freePrompt drops the prompt of a group once all of its samples are acknowledged: no member can become pending again.
func (l *ledger) freePrompt(g *group) {
	for i := range g.Members {
		if g.Members[i].State != memberAcknowledged {
			return
		}
	}
	l.promptBytes -= len(g.Prompt)
	g.Prompt = nil
}

// releaseLostOwner releases the groups of all incarnations of a VM up to upTo and makes the finished samples that they
// hold pending again. It returns the number of groups and samples that changed.
func (l *ledger) releaseLostOwner(vm api.VMID, upTo uint64) int {
	lost := func(i vmIncarnation) bool { return i.VM == vm && i.Number <= upTo }
	n := 0
	for _, st := range l.steps() {
		for _, g := range st.GroupList {
			n += l.releaseLostOwnerOfGroup(g, lost)
		}
	}
	return n
}

func (l *ledger) releaseLostOwnerOfGroup(g *group, lost func(vmIncarnation) bool) int {
	n := 0
	if lost(g.Owner) {
		g.Owner = vmIncarnation{}
		l.bumpRevision(g)
		l.claimRevision = l.revision
		n++
	}
	for i := range g.Members {
		if m := &g.Members[i]; m.State == memberFinished && lost(m.Holder) {
			l.reset(g, m)
			n++
		}
	}
	return n
}

func (g *group) pending() []PendingMember {
	var out []PendingMember
	for i := range g.Members {
		if g.Members[i].State == memberPending {
			out = append(out, PendingMember{Member: i, Attempt: g.Members[i].Attempt})
		}
	}
	return out
}

func (g *group) view(st *step) Group {
	return Group{ID: g.ID, Step: st.ID, Size: len(g.Members), Pending: g.pending(), Deadline: st.Deadline}
}

func compareRevisions(a, b claimableGroup) int {
	return cmp.Compare(a.group.Revision, b.group.Revision)
}
