package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	crashPeriod = 25 * time.Second
	upTime      = 400 * time.Millisecond
	downTime    = 250 * time.Millisecond
	// longItem is the number of events of an item, 4 s.
	longItem   = 80
	stepGroups = 4
	groupSize  = 3
)

// withAgain puts groups of an earlier step before the groups of a step, in place of as many of them.
func withAgain(b *batch, again []item) *batch {
	b.Items = append(append([]item{}, again...), b.Items[:len(b.Items)-len(again)]...)
	return b
}

// crashes: all model servers crash again and again for 25 s. After that they are sound. The groups that the trainer did not get
// come again in its next step.
func crashes(r *record, trouble bool) int {
	d, servers, err := prepare(r, cpte, 2, 3, 0, false)
	if err != nil {
		return failed(r, err)
	}
	defer d.stop()
	for _, s := range servers {
		s.events = longItem
	}
	var mu sync.Mutex
	everyone, up := append([]*server{}, servers...), append([]*server{}, servers...)
	time.Sleep(5 * time.Second)
	calm := time.Now()
	var wg sync.WaitGroup
	if trouble {
		r.add("from now on each of the %d model servers crashes %s after its start and is back %s later, for %s", len(servers), upTime, downTime, crashPeriod)
		end := time.Now().Add(crashPeriod)
		for i := range servers {
			wg.Go(func() {
				s := servers[i]
				for n := 0; time.Now().Before(end); n++ {
					time.Sleep(upTime)
					s.stop()
					time.Sleep(downTime)
					next, err := d.startServer(fmt.Sprintf("%s-%d", servers[i].id[:4], n+1), tutorService, s.zone, "", s.slots)
					if err != nil {
						r.add("%v", err)
						return
					}
					next.events = longItem
					go next.announce()
					mu.Lock()
					everyone = append(everyone, next)
					up[i] = next
					mu.Unlock()
					s = next
				}
			})
		}
	}
	// The steps that the trainer asks during the crashes. The groups that it does not get come again, as at most half of a step.
	var again []item
	for step, id := range []string{"9c2e41a5d07b8240", "1f6ce5a0b2907c14"} {
		b := withAgain(newBatch(id, step, stepGroups, groupSize), again)
		if err := d.submit(b, 3); err != nil {
			return failed(r, err)
		}
		begun, after, listed := time.Now(), 0, map[string]bool{}
		for time.Since(begun) < stepDeadline && len(listed) < len(b.Items) {
			_, results, next := d.read(d.entries[0], b.id, after)
			after = next
			for _, q := range results {
				listed[q.ID] = true
			}
			time.Sleep(200 * time.Millisecond)
		}
		status, _, _, err := call("DELETE", d.entries[0].ingress(), host, "/lots/"+b.id, nil, nil, 6*time.Second)
		r.add("step %d: %d of %d items are listed after %.1f s; its end is answered %d %v", step, len(listed), len(b.Items), time.Since(begun).Seconds(), status, err)
		again = nil
		for g := 0; g < len(b.Items); g += groupSize {
			group := b.Items[g : g+groupSize]
			complete := true
			for _, it := range group {
				complete = complete && listed[it.ID]
			}
			if !complete && len(again) < len(b.Items)/2 {
				again = append(again, group...)
			}
		}
	}
	last := withAgain(newBatch("5d07b82409c2e41a", 2, stepGroups, groupSize), again)
	wg.Wait()
	if trouble {
		calm = time.Now()
		r.add("the crashes are over")
	}
	time.Sleep(time.Duration(d.sheet.contactMS+1000) * time.Millisecond)
	r.add("step 2: %d of its items come again", len(again))
	begun := time.Now()
	if err := d.submit(last, 3); err != nil {
		return failed(r, err)
	}
	mu.Lock()
	defer mu.Unlock()
	return d.watchStep(last, begun, calm, everyone, up)
}
