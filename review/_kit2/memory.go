package main

import (
	"time"
)

const (
	// largePayload is the payload of the one item of a large batch. Its base64 form fits into max-body-bytes of the manifest.
	largePayload = 24<<20 - 64<<10
	smallPayload = 600
	// endsOfFault is how many ends of a machine's processes make a fault (RULES.md, Fault).
	endsOfFault = 3
)

// ended returns on how many of the machines processes ended by themselves three times or more, and all ends.
func ended(r *record, nodes []*node, what string) (machines, ends int) {
	for _, n := range nodes {
		n.mu.Lock()
		e := n.overLimit + n.ownEnds
		r.add("%s: %s: %d processes ended by themselves, %d of them over memory-mb (%d); peak of the anonymous memory %.0f MB", what, n.name, e, n.overLimit, n.memory, n.peakMB)
		n.mu.Unlock()
		ends += e
		if e >= endsOfFault {
			machines++
		}
	}
	return
}

// largeBatch: one trainer submits one batch job of legal size after the other, each with one item, and nothing else happens.
func largeBatch(r *record, trouble bool) int {
	d, servers, err := prepare(r, noelasilm, 3, 2, 0, true)
	if err != nil {
		return failed(r, err)
	}
	defer d.stop()
	_ = servers
	time.Sleep(4 * time.Second)
	size := smallPayload
	if trouble {
		size = largePayload
	}
	accepted, done := 0, 0
	for step := 0; step < 12 && time.Since(r.start) < 80*time.Second; step++ {
		b := newBatch("5d07b8240000000"+string(rune('a'+step)), step, 1, 1)
		b.Items[0].Payload = make([]byte, size)
		begun := time.Now()
		if d.submit(b, 2) == nil {
			accepted++
		}
		for time.Since(begun) < 6*time.Second {
			if _, results, _ := d.read(d.entries[step%3], b.id, 0); len(results) == 1 {
				r.add("trainer: the item of step %d is listed as %s", step, results[0].State)
				done++
				break
			}
			time.Sleep(400 * time.Millisecond)
		}
		status, _, _, err := call("DELETE", d.entries[step%3].ingress(), host, "/lots/"+b.id, nil, nil, 6*time.Second)
		r.add("trainer: end of step %d: %d %v", step, status, err)
		if machines, _ := ended(r, d.states, "after step"); machines >= 2 {
			break
		}
		time.Sleep(time.Second)
	}
	machines, ends := ended(r, d.states, "core")
	_, entryEnds := ended(r, d.entries, "edge")
	r.add("%d batch jobs of one item of %d bytes: %d accepted, %d done; %d ends of processes on the core, %d at the edge", 12, size, accepted, done, ends, entryEnds)
	if 2*machines >= len(d.states) {
		r.add("rule Fault is broken: on %d of the 3 machines of the core, processes ended by themselves three times or more", machines)
		return broken
	}
	return held
}
