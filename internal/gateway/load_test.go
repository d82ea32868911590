package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/balance"
	"filbertledge/internal/boottime"
	"filbertledge/internal/coordinator"
	"filbertledge/internal/events"
)

// Guards against a VM that reports its load although nobody asked, that does not begin when the leader asks for it, or whose
// log does not tell that it lost the leader's sums.
func TestLoadIsReportedOnceTheLeaderAsks(t *testing.T) {
	var log bytes.Buffer
	l := newLoadReporter(Options{Name: "vm", FailureDomain: "a", Events: events.NewLogRecorder(api.VMID("vm"), &log)})
	l.tracker.Start("server")
	if l.apply(&coordinator.FollowReply{Term: 1}); l.report(1, boottime.Now()) != nil {
		t.Fatal("reports its load without being asked")
	}
	l.apply(&coordinator.FollowReply{Term: 1, Load: &balance.Sums{Enabled: true, Complete: true, Revision: 4, Services: 1}})
	l.tracker.Start("server")
	r := l.report(1, boottime.Now())
	entries, err := balance.Decode(r.Entries, 10)
	if err != nil || len(entries) != 1 || entries[0].Load != 1 || r.Revision != 4 || r.Whole {
		t.Fatalf("report %+v, %v, %v", r, entries, err)
	}
	if next := l.report(1, boottime.Now()); len(next.Entries) == 0 {
		t.Error("a report without answer is not repeated")
	}
	l.apply(&coordinator.FollowReply{Term: 1, Load: &balance.Sums{Enabled: true, Complete: true, Revision: 5, Services: 1}})
	if next := l.report(1, boottime.Now()); len(next.Entries) > 0 {
		t.Error("an unchanged load is reported again")
	}
	if next := l.report(2, boottime.Now()+3*time.Second); !next.Whole || len(next.Entries) == 0 {
		t.Error("a new leader does not get the whole report")
	}
	for _, name := range []events.Name{events.LoadKnown, events.LoadUnknown} {
		if strings.Count(log.String(), string(name)) != 1 {
			t.Errorf("the log does not have one event %s:\n%s", name, log.String())
		}
	}
}
