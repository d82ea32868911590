package coordinator

import (
	"fmt"
	"testing"

	"filbertledge/internal/fleet"
	"filbertledge/internal/rollout"
)

// TestNewLeaderKnowsKindsOfEngines guards against a new leader that takes the engines of a slower kind for fast ones until it
// has measured them, and against one that takes over measurements of a fleet of one kind or of an earlier start.
func TestNewLeaderKnowsKindsOfEngines(t *testing.T) {
	const fast, slow = 33.0, 80.0
	for name, tc := range map[string]struct {
		slow          int // of twelve engines
		restarted     bool
		first, second float64 // interval of a slow and of a fast engine
	}{
		"uneven":    {slow: 4, first: slow, second: fast},
		"one kind":  {slow: 0},
		"one fault": {slow: 1},
		"restarted": {slow: 4, restarted: true},
	} {
		n := &Node{state: rollout.NewState(nil), registry: fleet.NewRegistry(testTimeout)}
		s := &session{node: n, engines: map[string]*engineState{}}
		for i := range 12 {
			v := fleet.Server{ID: fmt.Sprintf("e%02d", i), Service: testService, Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), Incarnation: 1}
			e := engineState{kindInterval: fast}
			if i < tc.slow {
				e.kindInterval = slow
			}
			registered := e.withLoadedVersions(v)
			data, err := rollout.EncodeCommand(rollout.Command{Register: &registered})
			if err != nil {
				t.Fatal(err)
			}
			n.state.Apply(0, data)
			if tc.restarted {
				v.Incarnation = 2
			}
			n.registry.Announce(v, 0)
		}
		s.loadRegisteredVersions()
		for id, want := range map[string]float64{"e00": tc.first, "e11": tc.second} {
			got := 0.0
			if e := s.engines[id]; e != nil {
				got = e.kindInterval
			}
			if got != want {
				t.Errorf("%s: engine %s has interval %g, want %g", name, id, got, want)
			}
		}
	}
}
