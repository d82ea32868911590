package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// strangers: another writer sends one ping for each address at which a sound model server runs. The ping names a service that no
// manifest names.
func strangers(r *record, trouble bool) int {
	d, servers, err := prepare(r, noelasilm, 2, 2, 0, false)
	if err != nil {
		return failed(r, err)
	}
	defer d.stop()
	slowDown(servers)
	time.Sleep(4 * time.Second) // the servers have announced themselves and the core is stable
	b := stepItems("7c41e09b52d6a3f8")
	begun := time.Now()
	if err := d.submit(b, 3); err != nil {
		return failed(r, err)
	}
	time.Sleep(time.Second)
	if trouble {
		for i, s := range servers {
			ping, _ := json.Marshal(map[string]any{
				"backend": "veto07k", "address": s.address, "zone": s.zone, "version": "v1", "max-batch-size": 12, "state": "ready", "cold-left-ms": 0,
				"phase-kind": "hybrid", "models": []any{}, "sequence": 1, "born": time.Now().UnixMilli(),
			})
			status, _, text, err := call("POST", d.states[0].control(), "", fmt.Sprintf("/instances/w-%02d/heartbeat", i), map[string]string{"Content-Type": "application/json"}, ping, time.Second)
			r.add("another writer: ping of w-%02d of service veto07k, which no manifest names, at the address of %s: %d %s %v", i, s.id, status, text, err)
		}
	}
	return d.watchStep(b, begun, r.start, servers, servers)
}
