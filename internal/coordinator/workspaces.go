package coordinator

import (
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/rollout"
)

// ownedID is the ID of an item or a group of a workspace. Texts and groups of one workspace are not used for another.
type ownedID struct{ workspace, id string }

// dropsIdentity reports whether the headers of a batch's items may not state a key or a workspace. The VM that took the batch
// drops them, unless its configuration had no workspaces then.
func (s *session) dropsIdentity(b *rollout.Batch) bool {
	c := s.node.state.Configuration()
	return b.Workspace != "" || c != nil && c.RequiresKeys
}

// mayAccess reports whether a caller of a workspace may read or end a batch. A batch without a workspace belongs to a
// public route, or an earlier build accepted it; no key is needed for it.
func (s *session) mayAccess(batch, workspace string) bool {
	owner, found := s.node.state.BatchWorkspace(batch)
	return found && (owner == "" || owner == workspace)
}

// checkOwner returns an error if a batch that is submitted again belongs to another workspace.
func (s *session) checkOwner(b *rollout.Batch) error {
	if owner, found := s.node.state.BatchWorkspace(b.ID); !found || owner == "" || owner == b.Workspace {
		return nil
	}
	err := errs.New(errs.Conflict, "choose another batch ID", "batch %s exists and does not belong to the caller", b.ID)
	s.record(events.Event{Name: events.RequestRefused, Request: b.ID, Detail: err.Error()})
	return err
}

// checkWorkspace returns an error if a batch cannot be accepted for its workspace: it belongs to another one, the VM that
// passed it on did not ask for the key that the configuration requires, or a replica would lose the owner. stateVersion
// returns the version of the state that all members understand.
func (s *session) checkWorkspace(b *rollout.Batch, stateVersion func() uint64) error {
	if err := s.checkOwner(b); err != nil {
		return err
	}
	var err error
	c := s.node.state.Configuration()
	switch {
	case b.Workspace == "" && c != nil && c.RequiresKeys:
		if route := c.Match(b.Host, b.Path); route != nil && !route.Public {
			err = errs.New(errs.Unavailable, "submit the batch again in a second", "the VM that took batch %s does not know yet that its route needs a key", b.ID)
		}
	case b.Workspace != "" && stateVersion() < workspaceStateVersion:
		err = errs.New(errs.Unavailable, "submit the batch again once all VMs with replicated state run this build", "a VM with replicated state would not keep the workspace of batch %s", b.ID)
	}
	if err != nil {
		s.record(events.Event{Name: events.RequestRefused, Request: b.ID, Detail: err.Error()})
	}
	return err
}

// recordedStateVersion returns the version of the state that all members understand by the record in the state, which a new
// session has at once.
func (s *session) recordedStateVersion() uint64 {
	return stateVersionOf(s.node.replica.Status().Members, s.node.state.MemberVersion)
}

// membersStateVersion returns the version of the state that all members understand. It asks them if the record is below the
// wanted version.
func (s *session) membersStateVersion(wanted uint64) uint64 {
	if version := s.recordedStateVersion(); version >= wanted {
		return version
	}
	s.askMemberVersions()
	return s.recordedStateVersion()
}

// workspaceStateVersion is the version of the state from which replicas keep the workspace of a batch.
const workspaceStateVersion = 1

// requiredVersion returns the version of the state that a replica must understand to accept a batch.
func requiredVersion(b *rollout.Batch) uint64 {
	switch {
	case b.Upload != "":
		return bodiesStateVersion
	case b.Workspace != "":
		return workspaceStateVersion
	}
	return 0
}
