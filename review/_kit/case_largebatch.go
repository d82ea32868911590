package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// largeBatch: a trainer submits one batch job, whose body is below max-body-bytes. The platform ends a process that uses
// more than memory-mb, and starts it again. Without the disruption the body is a hundred times smaller.
func largeBatch(rec *record, trouble bool) (outcome, error) {
	d, err := newDeployment(rec, 3, 3)
	if err != nil {
		return outcome{}, err
	}
	for _, m := range d.states {
		m.memoryMB = 164 // of the storage machines of noelasilm-ops
	}
	for _, m := range d.entries {
		m.memoryMB = 134
	}
	defer d.stopAll()
	stop, err := d.startEngines(4, func(s *server, c *serverConn, r *http.Request) {
		rec.line("%s runs item %s", s.id, r.Header.Get("Attempt-Id"))
		s.stream(c, r, []string{"a", "b", "c", "d"}, 100*time.Millisecond)
	})
	if err != nil {
		return outcome{}, err
	}
	defer stop()
	if err := d.startAll(newManifest(1, []map[string]any{rolloutRoute(), plainRoute()}, batchBackends())); err != nil {
		return outcome{}, err
	}
	time.Sleep(2500 * time.Millisecond)
	kills := d.watchMemory()
	mb := 12
	if v, err := strconv.Atoi(os.Getenv("REVIEW_MB")); err == nil {
		mb = v
	}
	size := mb << 20
	if !trouble {
		size /= 100
	}
	began := time.Now()
	var trainers sync.WaitGroup
	var mu sync.Mutex
	accepted, complete, sent := 0, 0, 0
	for trainer := range 3 {
		trainers.Go(func() {
			for step := 0; step < 8 && time.Since(began) < 45*time.Second; step++ {
				next := time.Now().Add(4 * time.Second)
				id := fmt.Sprintf("%02x%02xe09b52d6a3f8", trainer, step)
				body := newBatch(id, step, 16, make([]byte, size/16*3/4-1000))
				err := d.submit(id, body, 8*time.Second)
				if err == nil {
					_, err = d.readAll(id, 8*time.Second)
					mu.Lock()
					accepted++
					if err == nil {
						complete++
					}
					mu.Unlock()
					a := d.call(d.entries[trainer], "DELETE", "/lots/"+id, nil, nil, false, 6*time.Second)
					rec.line("trainer ends %s: %s", id, a)
				}
				mu.Lock()
				sent++
				mu.Unlock()
				time.Sleep(time.Until(next))
			}
		})
	}
	trainers.Wait()
	rec.line("%d batch jobs of %d bytes: %d accepted, %d of them read whole", sent, size, accepted, complete)
	// The rule: three times on half of the core, here the state VMs, or on a tenth of the machines in use, two at least.
	core, often := 0, 0
	machines := append(append([]*machine(nil), d.states...), d.entries...)
	for _, m := range machines {
		n := kills.of(m.name)
		rec.line("%s ended %d times over its %d MB", m.name, n, m.memoryMB)
		if n < 3 {
			continue
		}
		often++
		if m.role == "state" {
			core++
		}
	}
	return outcome{
		broken: 2*core >= len(d.states) || often >= 2 && 10*often >= len(machines),
		text: fmt.Sprintf("%d batch jobs of %d bytes, %d accepted, %d read whole: %d of %d state processes and %d of %d in all were ended three times or more for memory over the limit (%v); other ends: %v",
			sent, size, accepted, complete, core, len(d.states), often, len(machines), kills.byName, d.ownEnds()),
	}, nil
}

type killCount struct {
	mu     sync.Mutex
	byName map[string]int
}

func (k *killCount) of(name string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.byName[name]
}

// watchMemory ends each process that uses more memory than its machine allows, and starts it again after half a second.
// Only anonymous memory counts here, not that of mapped files.
func (d *deployment) watchMemory() *killCount {
	k := &killCount{byName: map[string]int{}}
	for _, m := range append(append([]*machine(nil), d.states...), d.entries...) {
		go func() {
			for {
				time.Sleep(2 * time.Millisecond)
				d.mu.Lock()
				ended := d.closing
				d.mu.Unlock()
				if ended {
					return
				}
				used := m.memoryMBNow("RssAnon")
				if used <= m.memoryMB {
					continue
				}
				k.mu.Lock()
				k.byName[m.name]++
				k.mu.Unlock()
				d.rec.line("platform ends the process of %s: it uses %d MB, allowed are %d MB", m.name, used, m.memoryMB)
				d.kill(m)
				time.Sleep(500 * time.Millisecond)
				d.mu.Lock()
				if !d.closing {
					d.mu.Unlock()
					if err := d.start(m, false); err != nil {
						d.rec.line("cannot start %s: %v", m.name, err)
						return
					}
					continue
				}
				d.mu.Unlock()
			}
		}()
	}
	return k
}
