package rollout

import (
	"errors"
	"testing"

	"filbertledge/internal/errs"
	"filbertledge/internal/routes"
)

// TestStateTooNew guards against a replica that goes on with a state which it does not understand.
func TestStateTooNew(t *testing.T) {
	var failure error
	s := NewState(nil)
	s.OnFailure = func(err error) { failure = err }
	apply := func(c Command) {
		data, err := EncodeCommand(c)
		if err != nil {
			t.Fatal(err)
		}
		s.Apply(1, data)
	}
	apply(Command{Retire: &Retirement{VM: "a"}, Requires: StateVersion})
	if failure != nil || !s.Retired()["a"] {
		t.Fatalf("a command of the newest version that this build understands: %v", failure)
	}
	apply(Command{Retire: &Retirement{VM: "b"}, Requires: StateVersion + 1})
	if !errs.Is(failure, errs.StateTooNew) || s.Retired()["b"] {
		t.Errorf("a command of a newer version: %v, applied %t", failure, s.Retired()["b"])
	}
	data, err := encodeSnapshot(snapshotState{Requires: StateVersion + 1})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Restore(data); !errs.Is(err, errs.StateTooNew) || !s.Retired()["a"] {
		t.Errorf("a snapshot of a newer version: %v", err)
	}
}

// TestConfigurationOfEarlierBuildIsCompleted guards against a deployment that serves without keys after an upgrade, because the
// earlier build did not read them from the operator's document.
func TestConfigurationOfEarlierBuildIsCompleted(t *testing.T) {
	complete := &routes.Configuration{Version: 3, Schema: routes.CurrentSchema, RequiresKeys: true, Document: []byte("document")}
	rejected := 0
	newState := func(parsed *routes.Configuration, parseErr error) *State {
		s := NewState(nil)
		s.ParseDocument = func([]byte) (*routes.Configuration, error) { return parsed, parseErr }
		s.OnDocumentRejected = func(uint64, error) { rejected++ }
		return s
	}
	earlier := &routes.Configuration{Version: 3, Document: []byte("document")}
	data, err := EncodeCommand(Command{Configure: earlier})
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := encodeSnapshot(snapshotState{Configuration: earlier})
	if err != nil {
		t.Fatal(err)
	}
	for name, tc := range map[string]struct {
		parsed    *routes.Configuration
		err       error
		completed bool
	}{
		"accepted": {complete, nil, true}, "rejected": {nil, errors.New("invalid"), false}, "another version": {&routes.Configuration{Version: 4}, nil, false},
	} {
		rejected = 0
		applied, restored := newState(tc.parsed, tc.err), newState(tc.parsed, tc.err)
		applied.Apply(1, data)
		if err := restored.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		for way, s := range map[string]*State{"log": applied, "snapshot": restored} {
			if c := s.Configuration(); c.Version != 3 || c.RequiresKeys != tc.completed {
				t.Errorf("%s, from the %s: version %d, keys required %t", name, way, c.Version, c.RequiresKeys)
			}
		}
		if (rejected == 2) == tc.completed {
			t.Errorf("%s: %d rejections told", name, rejected)
		}
	}
}
