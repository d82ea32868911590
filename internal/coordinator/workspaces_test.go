package coordinator

import (
	"context"
	"testing"
	"time"

	"filbertledge/internal/errs"
	"filbertledge/internal/rollout"
	"filbertledge/internal/routes"
)

// keyedBatch returns a batch of a workspace.
func keyedBatch(id, workspace string) *rollout.Batch {
	b := newBatch(id, itemsPerGroup, 0)
	b.Workspace = workspace
	return b
}

// Guards against a batch that another workspace can read, end or take over by submitting its ID, also after the loss of the
// leader, and against one without a workspace that cannot be read.
func TestBatchesBelongToWorkspaces(t *testing.T) {
	c := startCluster(t, 3)
	c.configure(1)
	c.announceServers(2, 4)
	c.submit(keyedBatch("owned", "a"))
	c.submit(keyedBatch("open", ""))
	c.waitForResults("open", itemsPerGroup)
	before := c.leader()
	c.stop(before)
	c.waitUntil("another leader", func() bool { return c.leader() != before })
	// call calls the leader until it answers and returns the kind of the error.
	call := func(f func(context.Context, *Node) error) (kind errs.Kind) {
		c.callLeader("an answer", func(ctx context.Context, n *Node) error {
			err := f(ctx, n)
			if kind = ""; err != nil {
				kind = errs.KindOf(err)
			}
			if kind == errs.NotFound || kind == errs.Conflict {
				return nil
			}
			return err
		})
		return kind
	}
	for _, tc := range []struct {
		batch, workspace string
		visible          bool
		resend           errs.Kind
	}{
		{"owned", "b", false, errs.Conflict}, {"owned", "", false, errs.Conflict}, {"owned", "a", true, ""}, {"open", "", true, ""}, {"open", "b", true, ""},
	} {
		var read ReadBatchReply
		var body ItemBodyReply
		call(func(ctx context.Context, n *Node) (err error) {
			read, err = callLeader(ctx, n, MethodReadBatch, (*session).read, ReadBatchRequest{Batch: tc.batch, Workspace: tc.workspace, MaxBytes: 1 << 20, MaxWait: time.Millisecond})
			return err
		})
		call(func(ctx context.Context, n *Node) (err error) {
			body, err = callLeader(ctx, n, MethodItemBody, (*session).body, ItemBodyRequest{Batch: tc.batch, Item: tc.batch + "-0", Workspace: tc.workspace})
			return err
		})
		if read.Found != tc.visible || !tc.visible && (read.Page.Total != 0 || body.Found) {
			t.Errorf("%s for %q: read %+v, body %+v", tc.batch, tc.workspace, read, body)
		}
		resend := call(func(ctx context.Context, n *Node) error {
			_, err := callLeader(ctx, n, MethodSubmitBatch, (*session).submit, keyedBatch(tc.batch, tc.workspace))
			return err
		})
		if resend != tc.resend {
			t.Errorf("%s submitted again for %q: %q, want %q", tc.batch, tc.workspace, resend, tc.resend)
		}
		end := call(func(ctx context.Context, n *Node) error {
			_, err := callLeader(ctx, n, MethodEndBatch, (*session).end, EndBatchRequest{Batch: tc.batch, Workspace: tc.workspace})
			return err
		})
		if (end == "") != tc.visible {
			t.Errorf("%s ended for %q: %q", tc.batch, tc.workspace, end)
		}
	}
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	if owned, open := c.engines.lastRequest["owned-0"], c.engines.lastRequest["open-0"]; owned.Workspace != "a" || !owned.WithoutIdentity || open.Workspace != "" || open.WithoutIdentity {
		t.Errorf("the engines got %+v and %+v", owned, open)
	}
}

// Guards against a batch that a VM which does not know of the keys passes on without a workspace, and against one whose
// workspace a replica of an earlier build would lose.
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
		err := s.checkWorkspace(keyedBatch("b", tc.workspace), func() uint64 { return tc.members })
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
