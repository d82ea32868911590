package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// lateCopy: a server that was full sends its refusal a second time, late, where the answer to the next request on the
// channel is due. The next request on that channel is the same one, sent again.
//
// One consumer sends bookings one after the other, about 60 a second, twice for 5 s. Every 40th meets a moment in which other
// callers hold all places of the three servers; they are free again 25 ms later. One of the three servers (a share of 0.33)
// sends a copy of at most 3 in 100 of its answers.
func lateCopy(rec *record, trouble bool) (outcome, error) {
	d, err := newDeployment(rec, 3, 3)
	if err != nil {
		return outcome{}, err
	}
	defer d.stopAll()
	service := "wuno96b"
	runs := newRuns()
	full := &fullMoment{}
	var disrupted atomic.Bool // server 0 sends copies
	for i := range 3 {
		s, err := d.newServer(fmt.Sprintf("i-7f3a91c%d", i), service, zones[i%3], 30+i, 6, "")
		if err != nil {
			return outcome{}, err
		}
		var mu sync.Mutex
		answers, copies := 0, 0
		faulty := i == 0
		s.handle = func(c *serverConn, r *http.Request, body []byte) {
			id := r.Header.Get("Attempt-Id")
			mu.Lock()
			answers++
			send := disrupted.Load() && faulty && copies+1 <= answers*3/100
			mu.Unlock()
			if full.now() {
				refusal := answerBytes(r, 503, map[string]string{"Not-Executed": "1"}, nil)
				rec.line("%s is full and refuses %s with 503 and Not-Executed", s.id, id)
				if send {
					mu.Lock()
					copies++
					mu.Unlock()
					rec.line("%s will send a copy of this refusal late (copy %d, after %d answers)", s.id, copies, answers)
					c.before = refusal
				}
				_, _ = c.Write(refusal)
				return
			}
			n := runs.add(id, s.id)
			rec.line("%s runs %s (run %d of this attempt)", s.id, id, n)
			time.Sleep(10 * time.Millisecond)
			text := []byte("booked " + id)
			c.reply(r, 200, map[string]string{"Response-Signature": signature(id, text)}, text)
		}
		s.run()
		defer s.close()
	}
	m := newManifest(1, []map[string]any{{
		"name": "r-book", "hostname": hostName, "path-prefix": "/lohu930/", "route-type": "non_idempotent", "timeout-ms": 1500, "target-latency-ms": 150,
		"priority": 2, "backend": service, "max-attempts": 2,
	}}, []map[string]any{{"name": service, "health-path": "/healthz", "max-connections": 110, "protocol": "h1", "tls-enabled": false}})
	if err := d.startAll(m); err != nil {
		return outcome{}, err
	}
	entry := d.entries[0]
	book := func(id string) answer {
		return d.call(entry, "POST", "/lohu930/2f", map[string]string{"Attempt-Id": id, "Deadline-Ms": "1500"}, []byte("one wool bundle"), false, 3*time.Second)
	}
	n := 0
	if err := waitFor(10*time.Second, func() bool {
		n++
		return book(fmt.Sprintf("warm%012x", n)).status == 200
	}); err != nil {
		return outcome{}, fmt.Errorf("no booking is served: %w", err)
	}
	time.Sleep(2500 * time.Millisecond) // until all servers have announced themselves
	for i := range 40 {
		book(fmt.Sprintf("warm%012x", 1000+i))
	}
	sent, refusedButRun, twice := 0, 0, 0
	for window := range 2 {
		rec.line("disruption %d begins", window+1)
		disrupted.Store(trouble)
		began := time.Now()
		for i := 1; time.Since(began) < 5*time.Second; i++ {
			id := fmt.Sprintf("%016x", 0x1c41d07b00000000+window<<16+i)
			if i%40 == 0 {
				full.hold(25 * time.Millisecond)
			}
			rec.line("consumer sends %s to %s", id, entry.name)
			a := book(id)
			rec.line("consumer gets for %s: %s", id, a)
			sent++
			time.Sleep(5 * time.Millisecond)
			if a.status == 503 && len(runs.of(id)) > 0 {
				refusedButRun++
				rec.line("BROKEN: %s was answered 503 and has run at %v", id, runs.of(id))
			}
		}
		disrupted.Store(false)
		time.Sleep(3 * time.Second)
	}
	for id, list := range runs.all() {
		if len(list) > 1 {
			twice++
			rec.line("BROKEN: %s has run %d times, at %v", id, len(list), list)
		}
	}
	return outcome{broken: twice > 0 || refusedButRun > 0, text: fmt.Sprintf("%d non_idempotent requests sent, %d ran more than once, %d were answered 503 and had run", sent, twice, refusedButRun)}, nil
}

// fullMoment is a time during which other callers hold the places of all servers.
type fullMoment struct {
	mu    sync.Mutex
	until time.Time
}

func (f *fullMoment) hold(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.until = time.Now().Add(d)
}

func (f *fullMoment) now() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.until)
}

// runs counts which servers began to run which attempt.
type runs struct {
	mu   sync.Mutex
	byID map[string][]string
}

func newRuns() *runs { return &runs{byID: map[string][]string{}} }

func (r *runs) add(id, server string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = append(r.byID[id], server)
	return len(r.byID[id])
}

func (r *runs) of(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.byID[id]...)
}

func (r *runs) all() map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]string{}
	for k, v := range r.byID {
		out[k] = append([]string(nil), v...)
	}
	return out
}
