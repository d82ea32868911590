package suspects

import (
	"testing"
	"time"
)

// Guards against a refusal that begins too late, ends too early, or never ends.
func TestJudge(t *testing.T) {
	for _, tc := range []struct {
		crashes int
		since   time.Duration
		want    Verdict
		left    time.Duration
	}{
		{0, 0, Free, 0},
		{1, 0, NoHedge, 0},
		{2, time.Hour, Alone, 0},
		{3, 0, Refused, RefusalDuration},
		{3, RefusalDuration - 1, Refused, 1},
		{3, RefusalDuration, Alone, 0},
		{4, RefusalDuration, Refused, RefusalDuration},
		{5, 0, Refused, 4 * RefusalDuration},
		{1 << 20, Lifetime, Alone, 0},
	} {
		if got, left := Judge(tc.crashes, tc.since); got != tc.want || left != tc.left {
			t.Errorf("%d crashes, the last %s ago: verdict %d for %s, want %d for %s", tc.crashes, tc.since, got, left, tc.want, tc.left)
		}
	}
}
