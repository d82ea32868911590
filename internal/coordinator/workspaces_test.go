package coordinator

import (
	"testing"

	"filbertledge/internal/errs"
	"filbertledge/internal/rollout"
	"filbertledge/internal/routes"
)

// Guards against a batch that a VM which does not know of the keys passes on without a workspace, and against one whose
// workspace a replica of an earlier build would lose; and against items whose headers tell an engine a key.
func TestBatchNeedsItsWorkspace(t *testing.T) {
	s, _ := newStandaloneSession(t, newFakeEngines())
	version := uint64(0)
	for name, tc := range map[string]struct {
		required, public bool
		workspace        string
		members          uint64 // version of the state that all members understand
		accepted         bool
	}{
		"no keys":             {false, false, "", 0, true},
		"public route":        {true, true, "", 0, true},
		"closed route":        {true, false, "", 1, false},
		"workspace":           {true, false, "a", 1, true},
		"workspace, upgrade":  {true, false, "a", 0, false},
		"no longer with keys": {false, false, "a", 1, true},
	} {
		version++
		applyCommand(t, s, rollout.Command{Configure: &routes.Configuration{
			Version: version, RequiresKeys: tc.required, Routes: []routes.Route{{Name: "r", Host: testHost, Prefix: "/p/", Kind: routes.Rollout, Public: tc.public}},
		}})
		b := &rollout.Batch{ID: "b", Host: testHost, Path: "/p/x", Workspace: tc.workspace}
		if got := s.dropsIdentity(b); got != (tc.required || tc.workspace != "") {
			t.Errorf("%s: identity of items dropped %t", name, got)
		}
		err := s.checkWorkspace(b, func() uint64 { return tc.members })
		if (err == nil) != tc.accepted || err != nil && !errs.Is(err, errs.Unavailable) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against the text of one workspace in the batch of another that names the same item and group.
func TestTextsAreNotReusedForOtherWorkspaces(t *testing.T) {
	s, _ := newStandaloneSession(t, newFakeEngines())
	add := func(id, workspace string) *task {
		s.addBatch(rollout.OpenBatch{Batch: rollout.Batch{ID: id, Workspace: workspace, Items: []rollout.Item{{ID: "i", Group: "g"}, {ID: "j", Group: "g"}}}, HasResult: []bool{false, false}})
		return s.batches[id].tasks[0]
	}
	first := add("1", "a")
	first.text, first.events, first.versions = []byte("secret"), 1, []uint64{1}
	s.keepReusableTexts(s.batches["1"])
	for _, tc := range []struct {
		workspace string
		text      string
	}{{"b", ""}, {"", ""}, {"a", "secret"}} {
		got := add("of "+tc.workspace, tc.workspace)
		if string(got.text) != tc.text || got.group.carriedOver != (tc.text != "") {
			t.Errorf("workspace %q: text %q, carried over %t", tc.workspace, got.text, got.group.carriedOver)
		}
	}
}
