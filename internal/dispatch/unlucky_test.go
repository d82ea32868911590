package dispatch

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/membership"
	"filbertledge/internal/table"
)

var unluckyRow = table.Row{Name: "r", Kind: table.KindRollout, Pool: "p", MaxInFlight: 8}

// markLost records that servers were lost while they ran a rollout with the given body.
func (f *fixture) markLost(body string, servers int) {
	digest := contentDigest(&Request{Row: unluckyRow, Method: "POST", Path: "/v1/chat/completions", Body: []byte(body)})
	for i := range servers {
		f.registry.MarkSuspects(api.ServerID(fmt.Sprint("lost", i)), []uint64{digest})
	}
}

// Guards against a rollout that is never generated because several servers crashed while they ran it.
func TestRolloutIsGeneratedAfterSeveralServersWereLost(t *testing.T) {
	f := newFixture(t)
	for i := range 2 {
		f.announce(fmt.Sprint("s", i), startEngine(t, func(_ int64, w http.ResponseWriter, req *http.Request) { streamTokens(w, req, 7, 1) }), nil)
	}
	const body = `{"sound":1}`
	f.markLost(body, 3)
	if _, err := f.Generate(within(t, 20*time.Second), Rollout{Row: unluckyRow, Body: []byte(body)}); err != nil {
		t.Fatal(err)
	}
	if n := f.registry.CrashCount(contentDigest(&Request{Row: unluckyRow, Method: "POST", Path: "/v1/chat/completions", Body: []byte(body)})); n != 0 {
		t.Fatalf("%d servers still count as lost by the rollout after it was generated", n)
	}
}

// Guards against a rollout that crashes every server and takes down those of the sound ones: it must wait longer after
// each crash and run alone.
func TestCrashingRolloutSparesOthers(t *testing.T) {
	const (
		servers, sound = 6, 40
		length         = 6 * time.Second
		// allowedCrashes is the number of crashes in length: two at once, as of any request, then with pauses of 1, 2 and 4 s.
		allowedCrashes = maxCrashes + 3
	)
	f := newFixture(t)
	var crashes, besides atomic.Int64
	for i := range servers {
		var running atomic.Int64
		f.announce(fmt.Sprint("s", i), startEngine(t, func(_ int64, w http.ResponseWriter, req *http.Request) {
			body := make([]byte, 64)
			n, _ := req.Body.Read(body)
			if gjson.GetBytes(body[:n], "poison").Bool() {
				if crashes.Add(1) > 1 && running.Load() > 0 {
					besides.Add(1)
				}
				panic(http.ErrAbortHandler)
			}
			running.Add(1)
			defer running.Add(-1)
			time.Sleep(20 * time.Millisecond)
			streamTokens(w, req, 7, 1)
		}), nil)
	}
	var wg sync.WaitGroup
	started := time.Now()
	wg.Go(func() {
		for time.Since(started) < length {
			if _, err := f.Generate(within(t, length-time.Since(started)), Rollout{Row: unluckyRow, Body: []byte(`{"poison":true}`)}); err == nil || errs.Is(err, errs.RequestCrashes) {
				t.Errorf("the crashing rollout ended with %v", err)
				return
			}
		}
	})
	for i := range sound {
		wg.Go(func() {
			if _, err := f.Generate(within(t, length), Rollout{Row: unluckyRow, Body: fmt.Appendf(nil, `{"i":%d}`, i)}); err != nil {
				t.Errorf("sound rollout %d: %v", i, err)
			}
		})
	}
	wg.Wait()
	if n := crashes.Load(); n > allowedCrashes {
		t.Errorf("%d crashes in %s, allowed are %d", n, length, allowedCrashes)
	}
	if n := besides.Load(); n > 0 {
		t.Errorf("%d crashes of servers that ran other rollouts, after the first crash", n)
	}
}

// Guards against a suspicion of rollouts that protects nobody's requests any more: a caller's request is still refused.
func TestCallersRequestIsStillRefusedAfterCrashes(t *testing.T) {
	f := newFixture(t)
	f.announce("s", startEngine(t, func(_ int64, w http.ResponseWriter, req *http.Request) { answerUnary(w, req) }), nil)
	request := chatRequest(`{"poison":1}`)
	for i := range maxCrashes {
		f.registry.MarkSuspects(api.ServerID(fmt.Sprint("lost", i)), []uint64{contentDigest(&request)})
	}
	if _, err := f.DoUnary(within(t, 5*time.Second), request); !errs.Is(err, errs.RequestCrashes) || !strings.Contains(err.Error(), membership.SuspicionDuration.String()[:2]) {
		t.Fatalf("error %v", err)
	}
}
