package transport

import (
	"testing"
	"time"
)

// Guards against calls with an unknown outcome because the peer closed the idle connection at the same moment.
func TestNearlyIdleConnectionIsReplaced(t *testing.T) {
	t.Parallel()
	l := &link{Conn: nil, used: time.Now()}
	l.waiting = 1
	if !l.fresh(time.Now().Add(time.Hour)) {
		t.Error("a connection on which a call waits is not used")
	}
	l.waiting = 0
	if l.fresh(l.used.Add(idleTimeout-idleMargin)) || !l.fresh(l.used.Add(idleTimeout-idleMargin-1)) {
		t.Error("the limit of idleness is wrong")
	}
}

// Guards against a live peer that is given up, and against a dead one that calls wait for until the idle timeout.
func TestSilence(t *testing.T) {
	t.Parallel()
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	type step struct {
		ms       int
		sent     bool
		received uint64
		want     action
	}
	cases := map[string][]step{
		"answered at once": {{250, true, 2, actNothing}, {500, false, 4, actNothing}, {2250, false, 4, actProbe}, {2500, false, 5, actNothing}},
		"never answers":    {{250, true, 1, actNothing}, {500, false, 1, actNothing}, {750, false, 1, actProbe}, {1000, false, 1, actNothing}, {1250, false, 1, actGiveUp}},
		"slow handler":     {{250, true, 2, actNothing}, {750, false, 2, actProbe}, {1000, false, 3, actNothing}, {2500, false, 3, actNothing}, {2750, false, 3, actProbe}},
		"frozen watcher":   {{250, true, 1, actNothing}, {9000, false, 1, actProbe}, {9250, false, 1, actNothing}, {9300, false, 2, actNothing}},
		"dies while idle":  {{2000, false, 1, actProbe}, {2500, false, 1, actNothing}, {3000, false, 1, actGiveUp}},
	}
	for name, steps := range cases {
		s := silence{timeout: DefaultPeerTimeout, received: 1, probedAt: at(0)}
		for _, step := range steps {
			if got := s.next(at(step.ms), step.sent, step.received); got != step.want {
				t.Errorf("%s: at %d ms action %d, want %d", name, step.ms, got, step.want)
			}
		}
	}
}
