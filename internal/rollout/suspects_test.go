package rollout

import (
	"testing"

	"filbertledge/internal/suspects"
)

// Guards against crash reports that a new leader does not know, or that grow without bound in the replicated state.
func TestCrashReportsSurviveSnapshot(t *testing.T) {
	s := NewState(nil)
	for i := range int64(2 * maxCrashReports) {
		s.storeSuspects([]CrashReport{{Report: suspects.Report{Request: uint64(i), Server: "a", Incarnation: 1, Confirmed: true}, At: i}})
	}
	s.storeSuspects([]CrashReport{{Report: suspects.Report{Request: 2*maxCrashReports - 1, Server: "a", Incarnation: 1, Cleared: true}}})
	snapshot, err := encodeSnapshot(snapshotState{Suspects: s.sortedSuspects()})
	if err != nil {
		t.Fatal(err)
	}
	restored := NewState(nil)
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	list := restored.Suspects()
	if len(list) != maxCrashReports-1 || list[len(list)-1].Report.Request != 2*maxCrashReports-2 {
		t.Errorf("%d reports are kept, the newest is %+v", len(list), list[len(list)-1])
	}
}
