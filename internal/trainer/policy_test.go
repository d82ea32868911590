package trainer

import (
	"reflect"
	"testing"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/control"
	"filbertledge/internal/table"
)

// TestRejectionOfDisallowedVersions guards against samples from weights that the row does not allow.
func TestRejectionOfDisallowedVersions(t *testing.T) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	// Version 10 was published 5 min ago, version 9 20 min ago, and version 8 40 min ago. The publish times of older
	// versions are not kept.
	weights := control.ModelWeights{Newest: 10, PublishTimes: []time.Time{
		now.Add(-40 * time.Minute), now.Add(-20 * time.Minute), now.Add(-5 * time.Minute),
	}}
	versions := func(v ...api.WeightVersion) []api.WeightVersion { return v }
	tests := []struct {
		name     string
		row      table.Row
		versions []api.WeightVersion
		allowed  bool
	}{
		{"newest", table.Row{}, versions(10), true},
		{"one version behind, none allowed", table.Row{}, versions(9, 10), false},
		{"at the bound", table.Row{MaxStalenessVersions: 2}, versions(8, 10), true},
		{"past the bound", table.Row{MaxStalenessVersions: 2}, versions(7, 10), false},
		{"bound larger than the newest version", table.Row{MaxStalenessVersions: 50}, versions(1), true},
		{"newer than the newest known version", table.Row{}, versions(11), true},
		{"versions not reported", table.Row{MaxStalenessVersions: 50}, nil, false},
		{"version zero", table.Row{MaxStalenessVersions: 50}, versions(0, 10), false},
		{"age within the bound", table.Row{MaxStalenessVersions: 50, MaxStalenessTime: 5 * time.Minute}, versions(9), true},
		{"age past the bound", table.Row{MaxStalenessVersions: 50, MaxStalenessTime: 5*time.Minute - 1}, versions(9), false},
		{"newest version is never too old", table.Row{MaxStalenessVersions: 50, MaxStalenessTime: 1}, versions(10), true},
		{"age of version 8", table.Row{MaxStalenessVersions: 50, MaxStalenessTime: 20 * time.Minute}, versions(8), true},
		{"age of version 7", table.Row{MaxStalenessVersions: 50, MaxStalenessTime: 39 * time.Minute}, versions(7), false},
		{"publish time not kept", table.Row{MaxStalenessVersions: 50, MaxStalenessTime: 39 * time.Minute}, versions(2), false},
		{"age unknown", table.Row{MaxStalenessVersions: 50, MaxStalenessTime: 24 * time.Hour}, versions(6), false},
		{"oldest version of known age", table.Row{MaxStalenessVersions: 50, MaxStalenessTime: 24 * time.Hour}, versions(7), true},
		{"below the row's version range", table.Row{MaxStalenessVersions: 5, Weights: table.WeightVersionRange{Min: 9}}, versions(8), false},
		{"above the row's version range", table.Row{MaxStalenessVersions: 5, Weights: table.WeightVersionRange{Max: 9}}, versions(9, 10), false},
		{"within the row's version range", table.Row{MaxStalenessVersions: 5, Weights: table.WeightVersionRange{Min: 8, Max: 9}}, versions(8, 9), true},
	}
	for _, tt := range tests {
		if reason := rejectionReason(tt.row, weights, tt.versions, now); (reason == "") != tt.allowed {
			t.Errorf("%s: rejection reason %q, want allowed %v", tt.name, reason, tt.allowed)
		}
		oldest := oldestAllowedVersion(tt.row, weights, now)
		if tt.allowed && tt.versions[0] < oldest {
			t.Errorf("%s: dispatch would refuse version %d, because the oldest allowed is %d", tt.name, tt.versions[0], oldest)
		}
	}
}

// TestLabelsKeepAllVersions guards against samples whose labels omit a weight version, for example that of reused KV
// cache entries.
func TestLabelsKeepAllVersions(t *testing.T) {
	labels := []api.PieceLabel{
		{Version: 6, Cached: true}, {Version: 7, Tokens: 1}, {Version: 7, Tokens: 2}, {Version: 8, Tokens: 1}, {Version: 7, Tokens: 1},
	}
	want := []api.PieceLabel{{Version: 6, Cached: true}, {Version: 7, Tokens: 3}, {Version: 8, Tokens: 1}, {Version: 7, Tokens: 1}}
	if got := mergeLabels(labels); !reflect.DeepEqual(got, want) {
		t.Errorf("merged %+v", got)
	}
	if got := distinctVersions(labels); !reflect.DeepEqual(got, []api.WeightVersion{6, 7, 8}) {
		t.Errorf("versions %v", got)
	}
}

// TestPredictOutputLength guards against predictions that ignore the row's history or exceed the request's own limit.
func TestPredictOutputLength(t *testing.T) {
	p := newPredictor()
	short, limited := []byte(`{"messages":[]}`), []byte(`{"max_tokens":4}`)
	if got := p.predict("a", short); got != defaultLengthTokens {
		t.Errorf("without history: %d", got)
	}
	if got := p.predict("a", limited); got != 4 {
		t.Errorf("without history, limited: %d", got)
	}
	for i := range 3 * maxObservations {
		p.observe("a", short, i%100+1)
	}
	if got := p.predict("a", short); got < 80 || got > 100 {
		t.Errorf("with lengths of 1 to 100: %d", got)
	}
	if got := p.predict("b", short); got != defaultLengthTokens {
		t.Errorf("another row: %d", got)
	}
	if got := p.predict("a", limited); got != 4 {
		t.Errorf("with history, limited: %d", got)
	}
}

func addJobs(q *rowQueue, name string, step uint64, predicted ...int) {
	for i, n := range predicted {
		q.addDelayed(&job{id: control.SampleID{Step: control.StepID{Row: q.row, Step: step}, Group: name, Member: i}, predictedTokens: n})
	}
}

// TestQueueOrder guards against long members that start last, and against later steps that start before earlier ones.
func TestQueueOrder(t *testing.T) {
	q := &rowQueue{row: "tutor"}
	addJobs(q, "later", 2, 900)
	addJobs(q, "short", 1, 10, 30)
	addJobs(q, "long", 1, 500)
	q.promoteReady(time.Now())
	var got []int
	for len(q.heap) > 0 {
		if j := q.popNext(); j != nil {
			got = append(got, j.predictedTokens)
		}
	}
	if !reflect.DeepEqual(got, []int{500, 30, 10, 900}) {
		t.Errorf("order %v", got)
	}
}

// TestDeficitRoundRobinSharesTokens guards against a row that gets more than its share of tokens because its members
// are longer.
func TestDeficitRoundRobinSharesTokens(t *testing.T) {
	long, short := &rowQueue{row: "long"}, &rowQueue{row: "short"}
	for i := range 200 {
		addJobs(long, string(rune('a'+i)), 1, 2000)
		addJobs(short, string(rune('a'+i)), 1, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50)
	}
	tokens := map[api.RowName]int{}
	for range 1000 {
		for _, q := range []*rowQueue{long, short} {
			q.promoteReady(time.Now())
			for len(q.heap) > 0 {
				j := q.popNext()
				if j == nil {
					break
				}
				tokens[q.row] += j.predictedTokens
			}
		}
		if len(long.heap) == 0 || len(short.heap) == 0 {
			break
		}
	}
	if d := tokens["long"] - tokens["short"]; d > 2000 || d < -2000 {
		t.Errorf("tokens per row %v differ by more than the length of a long member", tokens)
	}
}
