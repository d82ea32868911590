package trainer

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"filbertledge/internal/api"
)

// fakeAPI is a trainer API with one step, all of whose samples are available from the start.
type fakeAPI struct {
	mu        sync.Mutex
	samples   []Sample
	acked     map[SampleID]bool
	redeliver bool // deliver acknowledged samples once more
	acks      int
}

func (f *fakeAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := func(v any) { _ = json.NewEncoder(w).Encode(v) }
	switch {
	case strings.HasSuffix(r.URL.Path, "/samples"):
		answer := fetchResponse{NewestVersion: 8}
		for _, s := range f.samples {
			if !f.acked[s.ID] || f.redeliver {
				answer.Samples = append(answer.Samples, s)
			}
		}
		f.redeliver = false
		reply(answer)
	case strings.HasSuffix(r.URL.Path, "/ack"):
		var body ackBody
		_ = json.NewDecoder(r.Body).Decode(&body)
		f.acks++
		for _, a := range body.Samples {
			f.acked[SampleID{1, a.Group, a.Member}] = true
		}
		reply(map[string]int{"acknowledged": len(body.Samples)})
	default:
		reply(struct{}{})
	}
}

func sample(member int, versions ...api.WeightVersion) Sample {
	s := Sample{ID: SampleID{1, "g", member}, Attempt: 1, Versions: versions}
	for _, v := range versions {
		s.Labels = append(s.Labels, api.PieceLabel{Version: v, Tokens: 1})
		s.Text += "w1 "
		s.Tokens++
	}
	return s
}

func newFakeAPI(t *testing.T, samples ...Sample) (*fakeAPI, Options) {
	f := &fakeAPI{samples: samples, acked: map[SampleID]bool{}}
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	return f, Options{Row: "r", MaxStaleness: 1, Entries: func() []string { return []string{address, "127.0.0.1:1"} }}
}

func runStep(t *testing.T, tr *Trainer, size int) (Report, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return tr.RunStep(ctx, 1, time.Second, []Group{{ID: "g", Size: size, Request: json.RawMessage("{}")}})
}

// Guards against a trainer that does not notice wrong labels or stale samples. The first response to each
// acknowledgement is discarded, so each is sent twice; that must cause no duplicates.
func TestReportListsMislabeledAndStaleSamples(t *testing.T) {
	wrong := sample(1, 8)
	wrong.Labels[0].Tokens = 2
	_, opts := newFakeAPI(t, sample(0, 7, 8), wrong, sample(2, 6))
	opts.LoseEveryNthAck = 1
	report, err := runStep(t, New(opts), 3)
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Mislabeled) != 1 || report.Mislabeled[0].Member != 1 || len(report.Stale) != 1 || report.Stale[0].Member != 2 {
		t.Errorf("report %+v", report)
	}
	if len(report.Duplicated) != 0 || len(report.Samples) != 3 {
		t.Errorf("report %+v", report)
	}
}

// Guards against duplicates that are not reported, and against false reports: a sample that is delivered again
// because the trainer crashed before it acknowledged it is no duplicate.
func TestOnlyAcknowledgedSamplesCountAsDuplicates(t *testing.T) {
	f, opts := newFakeAPI(t, sample(0, 8), sample(1, 8))
	died := errors.New("the trainer crashed")
	opts.BeforeAck = func() error { return died }
	first := New(opts)
	if _, err := runStep(t, first, 2); !errors.Is(err, died) {
		t.Fatalf("error %v, want %v", err, died)
	}
	data, err := first.Checkpoint()
	if err != nil {
		t.Fatal(err)
	}
	opts.BeforeAck = nil
	second, err := Restore(opts, data)
	if err != nil {
		t.Fatal(err)
	}
	report, err := runStep(t, second, 2)
	if err != nil || len(report.Duplicated) != 0 || len(report.Samples) != 2 || f.acks != 1 {
		t.Errorf("after the restart: %+v, %d acknowledgements, %v", report, f.acks, err)
	}
	f.samples = append(f.samples, sample(2, 8))
	f.redeliver = true
	report, err = runStep(t, second, 3)
	if err != nil || len(report.Duplicated) != 2 {
		t.Errorf("redelivered samples: %+v, %v", report.Duplicated, err)
	}
}
