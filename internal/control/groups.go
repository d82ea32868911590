package control

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertledge/internal/errs"
)

func (s *state) submitGroups(c SubmitGroups) Result {
	st, ok := s.ledger.step(c.Step)
	if !ok {
		return stepNotFound(c.Step)
	}
	if res, ok := s.validateGroups(st, c); !ok {
		return res
	}
	submitter := vmIncarnation{c.VM, c.Incarnation}
	res := Result{}
	for i, g := range c.Groups {
		known, ok := st.byID[g.ID]
		if !ok {
			known = s.ledger.add(st, g, c.owner(i))
			if known.Owner != submitter {
				s.ledger.claimRevision = s.ledger.revision
			}
		}
		res.Count++
		if known.Owner == submitter {
			res.Groups = append(res.Groups, known.view(st))
		}
	}
	return res
}

// owner returns the VM incarnation that group i is assigned to.
func (c *SubmitGroups) owner(i int) vmIncarnation {
	if len(c.Owners) == 0 {
		return vmIncarnation{c.VM, c.Incarnation}
	}
	o := c.Owners[i%len(c.Owners)]
	return vmIncarnation{o.VM, o.Incarnation}
}

// validateGroups checks all groups of a command before any of them is added, so that an invalid group rejects the
// whole command.
func (s *state) validateGroups(st *step, c SubmitGroups) (Result, bool) {
	added, bytes := 0, 0
	seen := map[string]bool{}
	for _, g := range c.Groups {
		if res, ok := validateGroup(st, g); !ok {
			return res, false
		}
		if seen[g.ID] {
			return failedResult(errs.InvalidArgument, "give each group its own id", "group %q is repeated", g.ID), false
		}
		seen[g.ID] = true
		if _, ok := st.byID[g.ID]; !ok {
			added++
			bytes += len(g.Prompt)
		}
	}
	if len(st.GroupList)+added > st.Opening.Groups {
		return failedResult(errs.InvalidArgument, "open the step with more groups", "step %d of row %q has %d groups; %d more exceed its limit of %d",
			st.ID.Step, st.ID.Row, len(st.GroupList), added, st.Opening.Groups), false
	}
	if s.ledger.promptBytes+bytes > maxTotalPrompts {
		return failedResult(errs.Overloaded, "submit again when older steps are acknowledged", "the prompts in the ledger would exceed %d bytes", maxTotalPrompts), false
	}
	return Result{}, true
}

func validateGroup(st *step, g Group) (Result, bool) {
	known, ok := st.byID[g.ID]
	switch {
	case g.ID == "" || len(g.ID) > maxGroupIDBytes:
		return failedResult(errs.InvalidArgument, "use 1 to 128 bytes", "a group id has %d bytes", len(g.ID)), false
	case g.Size != st.Opening.GroupSize:
		return failedResult(errs.InvalidArgument, "use the group size of the step", "group %q has size %d; the step has group size %d",
			g.ID, g.Size, st.Opening.GroupSize), false
	case len(g.Prompt) == 0 || len(g.Prompt) > maxPromptBytes:
		return failedResult(errs.PayloadTooLarge, "use 1 byte to 64 KiB", "the prompt of group %q has %d bytes", g.ID, len(g.Prompt)), false
	case ok && known.Digest != xxhash.Sum64(g.Prompt):
		return failedResult(errs.Conflict, "use another id", "group %q is submitted with another prompt", g.ID), false
	default:
		return Result{}, true
	}
}

func (l *ledger) add(st *step, g Group, owner vmIncarnation) *group {
	added := &group{ID: g.ID, Prompt: g.Prompt, Digest: xxhash.Sum64(g.Prompt), Owner: owner, Members: make([]member, g.Size)}
	for i := range added.Members {
		added.Members[i].Attempt = 1
	}
	l.promptBytes += len(g.Prompt)
	l.bumpRevision(added)
	st.GroupList = append(st.GroupList, added)
	st.byID[g.ID] = added
	return added
}

type claimableGroup struct {
	step  *step
	group *group
}

// claimGroups first returns the groups that the VM owns and may not know of, then assigns groups without an owner to
// it. It assigns new groups only once all owned ones are listed, because Result.Revision must not skip any.
func (s *state) claimGroups(c ClaimGroups) Result {
	if c.VM == "" {
		return failedResult(errs.InvalidArgument, "name the VM", "the claim has no VM")
	}
	owner := vmIncarnation{c.VM, c.Incarnation}
	owned, free := s.ledger.claimableGroups(owner, c.Since, s.now)
	res := Result{Revision: c.Since}
	bytes := 0
	for _, entry := range owned {
		if len(res.Groups) == maxClaimedGroups || bytes > maxClaimedBytes {
			return res
		}
		bytes += len(entry.group.Prompt)
		res.addGroup(entry)
	}
	for _, entry := range free {
		if res.Count >= min(c.Max, maxClaimedGroups-len(owned)) || bytes > maxClaimedBytes {
			return res
		}
		entry.group.Owner = owner
		s.ledger.bumpRevision(entry.group)
		bytes += len(entry.group.Prompt)
		res.addGroup(entry)
		res.Count++
	}
	return res
}

func (r *Result) addGroup(c claimableGroup) {
	view := c.group.view(c.step)
	view.Prompt = c.group.Prompt
	r.Groups = append(r.Groups, view)
	r.Revision = c.group.Revision
}

func (l *ledger) claimableGroups(owner vmIncarnation, since uint64, now time.Time) (owned, free []claimableGroup) {
	for _, st := range l.steps() {
		if !now.Before(st.Deadline) {
			continue
		}
		for _, g := range st.GroupList {
			if !slices.ContainsFunc(g.Members, func(m member) bool { return m.State == memberPending }) {
				continue
			}
			switch {
			case g.Owner == owner && g.Revision > since:
				owned = append(owned, claimableGroup{st, g})
			case g.Owner == vmIncarnation{}:
				free = append(free, claimableGroup{st, g})
			}
		}
	}
	slices.SortFunc(owned, compareRevisions)
	return owned, free
}

// view returns a copy of the step. Open depends on the wall-clock time now.
func (st *step) view(now time.Time) StepView {
	v := StepView{
		ID: st.ID, Open: now.Before(st.Deadline), Groups: st.Opening.Groups, Size: st.Opening.GroupSize,
		Deadline: st.Deadline, Submitted: len(st.GroupList),
	}
	for _, g := range st.GroupList {
		pending := len(g.pending())
		v.Pending += pending
		for i := range g.Members {
			m := &g.Members[i]
			switch {
			case m.State == memberAcknowledged:
				v.Acked++
			case m.State == memberFinished && pending == 0:
				v.Finished = append(v.Finished, m.view(SampleID{Step: st.ID, Group: g.ID, Member: i}))
			}
		}
	}
	return v
}

func (m *member) view(id SampleID) SampleView {
	return SampleView{
		ID: id, Attempt: m.Attempt, VM: m.Holder.VM, Incarnation: m.Holder.Number, Digest: m.Digest,
		Versions: slices.Clone(m.Versions),
	}
}

// Step returns a copy of a step. Open depends on the wall-clock time now.
func (m *StateMachine) Step(id StepID, now time.Time) (StepView, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	st, ok := m.state.ledger.step(id)
	if !ok {
		return StepView{ID: id}, false
	}
	return st.view(now), true
}

// Steps returns copies of all steps in the ledger, ordered by row and step number. Open depends on the wall-clock time
// now.
func (m *StateMachine) Steps(now time.Time) []StepView {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []StepView
	for _, st := range m.state.ledger.steps() {
		out = append(out, st.view(now))
	}
	return out
}

// activeOwners returns the VM incarnations that own unfinished calls or groups, or that hold unacknowledged samples.
func (m *StateMachine) activeOwners() map[vmIncarnation]bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := map[vmIncarnation]bool{}
	for owner := range maps.Keys(m.state.calls.unfinished) {
		out[owner] = true
	}
	for _, st := range m.state.ledger.steps() {
		for _, g := range st.GroupList {
			g.addOwners(out)
		}
	}
	delete(out, vmIncarnation{})
	return out
}

func (g *group) addOwners(out map[vmIncarnation]bool) {
	for i := range g.Members {
		switch g.Members[i].State {
		case memberPending:
			out[g.Owner] = true
		case memberFinished:
			out[g.Owner] = true
			out[g.Members[i].Holder] = true
		}
	}
}
