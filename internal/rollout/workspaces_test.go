package rollout

import "testing"

// Guards against a batch whose owner is lost, or taken from a later command, when a replica restarts: any caller could then
// read it.
func TestBatchWorkspaceSurvivesSnapshot(t *testing.T) {
	s := NewState(nil)
	for _, b := range []Batch{{ID: "b", Workspace: "a"}, {ID: "b", Workspace: "c"}, {ID: "open"}} {
		data, err := EncodeCommand(Command{Accept: &b, Requires: 1})
		if err != nil {
			t.Fatal(err)
		}
		s.Apply(1, data)
	}
	snapshot, err := encodeSnapshot(snapshotState{Batches: []batchState{*s.batches["b"], *s.batches["open"]}, Requires: s.requires})
	if err != nil {
		t.Fatal(err)
	}
	restored := NewState(nil)
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	for batch, want := range map[string]string{"b": "a", "open": ""} {
		if got, found := restored.BatchWorkspace(batch); got != want || !found {
			t.Errorf("batch %s belongs to %q, found %t", batch, got, found)
		}
	}
	if _, found := restored.BatchWorkspace("none"); found || restored.requires != 1 {
		t.Errorf("an unknown batch is found %t, version %d is required", found, restored.requires)
	}
}
