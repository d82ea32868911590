package suspects

import (
	"fmt"
	"testing"
	"time"

	"filbertledge/internal/api"
)

const testLifetime = time.Hour

// Guards against a sound request that keeps the count of crashes which it only happened to be in flight at.
func TestAnswerClearsRequest(t *testing.T) {
	table := NewTable(testLifetime)
	report := Report{Request: 1, Server: "a", Incarnation: 1, Confirmed: true}
	table.Merge(report, 0)
	if cleared := table.Clear(1, 0); len(cleared) != 1 {
		t.Fatalf("%d reports were cleared", len(cleared))
	}
	table.Merge(report, 0) // another VM repeats the report
	if n, _ := table.Crashes(1, 0); n != 0 {
		t.Errorf("%d crashes after an answer", n)
	}
	report.Incarnation = 2
	table.Merge(report, 0)
	if n, _ := table.Crashes(1, 0); n != 1 {
		t.Errorf("%d crashes, of which one came after the answer", n)
	}
}

// Guards against one end of a server that counts several times, and against two starts of a server that count as one.
func TestEachEndOfServerCountsOnce(t *testing.T) {
	table := NewTable(testLifetime)
	for _, incarnation := range []uint64{1, 1, 2} {
		table.Merge(Report{Request: 1, Server: "a", Incarnation: incarnation, Confirmed: true}, time.Minute)
	}
	if n, since := table.Crashes(1, 2*time.Minute); n != 2 || since != time.Minute {
		t.Errorf("%d crashes, the last %s ago", n, since)
	}
}

// Guards against sound requests that are suspected for long because connections broke while their servers ran on.
func TestUnconfirmedReportCountsForShort(t *testing.T) {
	table := NewTable(testLifetime)
	table.Merge(Report{Request: 1, Server: "a", Incarnation: 1}, 0)
	table.Merge(Report{Request: 1, Server: "b", Incarnation: 1, Confirmed: true}, 0)
	for at, want := range map[time.Duration]int{0: 2, UnconfirmedLifetime - 1: 2, UnconfirmedLifetime: 1} {
		if n, _ := table.Crashes(1, at); n != want {
			t.Errorf("%d crashes after %s, want %d", n, at, want)
		}
	}
	table.Merge(Report{Request: 1, Server: "a", Incarnation: 1, Confirmed: true}, UnconfirmedLifetime)
	if n, _ := table.Crashes(1, UnconfirmedLifetime); n != 2 {
		t.Errorf("%d crashes after the confirmation", n)
	}
}

// Guards against a table that grows with each request in flight on an ending server, and against giving up the newest
// reports for it.
func TestOldestReportGivesWay(t *testing.T) {
	table := NewTable(testLifetime)
	for i := range uint64(2 * MaxReports) {
		table.Merge(Report{Request: i, Server: "a", Incarnation: 1}, time.Duration(i))
	}
	if n := len(table.List(2*MaxReports, 0)); n != MaxReports {
		t.Errorf("%d reports are kept", n)
	}
	if n, _ := table.Crashes(2*MaxReports-1, 2*MaxReports); n != 1 {
		t.Error("the newest report is gone")
	}
	table.Expire(testLifetime + 2*MaxReports)
	if n := len(table.List(2*MaxReports, 0)); n != 0 {
		t.Errorf("%d reports are left after their lifetime", n)
	}
}

// Guards against changes that do not reach another VM because a message holds only some of them.
func TestChangesReachOtherTableInParts(t *testing.T) {
	const reports, most = 100, 7
	first, second := NewTable(testLifetime), NewTable(testLifetime)
	for i := range reports {
		first.Merge(Report{Request: uint64(i), Server: api.ServerID(fmt.Sprint("s", i)), Incarnation: 1, Confirmed: i%2 == 0}, 0)
	}
	first.Clear(3, 0)
	revision := uint64(0)
	for revision < first.Revision() {
		var list []Report
		if list, revision = first.ChangedSince(revision, most, 0); len(list) == 0 || len(list) > most {
			t.Fatalf("%d reports in a message", len(list))
		}
		for _, r := range list {
			second.Merge(r, 0)
		}
	}
	for i := range uint64(reports) {
		want, _ := first.Crashes(i, 0)
		if got, _ := second.Crashes(i, 0); got != want {
			t.Errorf("request %d: %d crashes, want %d", i, got, want)
		}
	}
}
