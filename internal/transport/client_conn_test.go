package transport

import (
	"testing"
	"time"
)

// Guards against calls whose outcome is unknown because the peer closed the idle connection while the call was sent.
func TestNearlyIdleConnectionIsReplaced(t *testing.T) {
	t.Parallel()
	c := &clientConn{Conn: nil, lastUsed: time.Now()}
	c.activeCalls = 1
	if !c.withinIdleLimit(time.Now().Add(time.Hour)) {
		t.Error("a connection with a waiting call takes no new call")
	}
	c.activeCalls = 0
	if c.withinIdleLimit(c.lastUsed.Add(idleTimeout-idleMargin)) || !c.withinIdleLimit(c.lastUsed.Add(idleTimeout-idleMargin-1)) {
		t.Error("the connection takes new calls beyond the idle limit, or refuses them before it")
	}
}

// Guards against closing the connection of a live peer, and against calls that wait for a dead peer until the idle
// timeout.
func TestPeerMonitorProbesThenClosesSilentConnection(t *testing.T) {
	t.Parallel()
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	type step struct {
		ms       int
		sent     bool
		received uint64
		want     monitorAction
	}
	cases := map[string][]step{
		"answered at once":        {{250, true, 2, actNothing}, {500, false, 4, actNothing}, {2250, false, 4, actProbe}, {2500, false, 5, actNothing}},
		"never answers":           {{250, true, 1, actNothing}, {500, false, 1, actNothing}, {750, false, 1, actProbe}, {1000, false, 1, actNothing}, {1250, false, 1, actClose}},
		"slow handler":            {{250, true, 2, actNothing}, {750, false, 2, actProbe}, {1000, false, 3, actNothing}, {2500, false, 3, actNothing}, {2750, false, 3, actProbe}},
		"monitor suspended":       {{250, true, 1, actNothing}, {9000, false, 1, actProbe}, {9250, false, 1, actNothing}, {9300, false, 2, actNothing}},
		"dies during a long call": {{2000, false, 1, actProbe}, {2500, false, 1, actNothing}, {3000, false, 1, actClose}},
	}
	for name, steps := range cases {
		m := peerMonitor{timeout: DefaultPeerTimeout, packetsReceived: 1, probedAt: at(0)}
		for _, step := range steps {
			if got := m.nextAction(at(step.ms), step.sent, step.received); got != step.want {
				t.Errorf("%s: at %d ms action %d, want %d", name, step.ms, got, step.want)
			}
		}
	}
}
