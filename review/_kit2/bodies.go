package main

import (
	"sync"
	"time"
)

const (
	// bodyBytes is the payload of the one item of a batch job, half of max-body-bytes as sent.
	bodyBytes = 12 << 20
	// readers ask for its body at the same time.
	readers = 12
)

// bodies: consumers ask for the body of an open item of an accepted batch job, several at the same time.
func bodies(r *record, trouble bool) int {
	d, servers, err := prepare(r, noelasilm, 3, 2, 0, true)
	if err != nil {
		return failed(r, err)
	}
	defer d.stop()
	for _, s := range servers {
		s.events = 2000 // the item stays open
		s.event = 100 * time.Millisecond
	}
	time.Sleep(4 * time.Second)
	size, crowd := 600, readers
	if trouble {
		size = bodyBytes
	}
	b := newBatch("e5b2907c14da6f38", 0, 1, 1)
	b.Items[0].Tokens = 4000
	b.Items[0].Payload = make([]byte, size)
	if err := d.submit(b, 3); err != nil {
		return failed(r, err)
	}
	time.Sleep(3 * time.Second)
	ended(r, d.all(), "before the first reader")
	for round := 0; round < 12 && time.Since(r.start) < 90*time.Second; round++ {
		var wg sync.WaitGroup
		var mu sync.Mutex
		answers := map[int]int{}
		for i := range crowd {
			wg.Go(func() {
				status, _, text, err := call("GET", d.entries[i%3].ingress(), host, "/items/"+b.id+"?id="+b.Items[0].ID, nil, nil, 4*time.Second)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					status = 0
				} else if status == 200 && len(text) != size {
					status = -1
				}
				answers[status]++
			})
		}
		wg.Wait()
		r.add("round %d: %d consumers ask for the body of %d bytes; answers by status (0: none): %v", round, crowd, size, answers)
		if machines, _ := ended(r, d.states, "after the round"); machines >= 2 {
			break
		}
		time.Sleep(4 * time.Second)
	}
	machines, ends := ended(r, d.states, "core")
	_, entryEnds := ended(r, d.entries, "edge")
	r.add("%d ends of processes on the core, %d at the edge", ends, entryEnds)
	if 2*machines >= len(d.states) {
		r.add("rule Fault is broken: on %d of the 3 machines of the core, processes ended by themselves three times or more", machines)
		return broken
	}
	return held
}
