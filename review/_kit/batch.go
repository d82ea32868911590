package main

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	modelName    = "daka510000"
	engineSvc    = "huvo11a"
	rolloutPath  = "/pufi791/"
	batchService = "wuno96b"
)

func rolloutRoute() map[string]any {
	return map[string]any{
		"name": "r-i9n73hh", "hostname": hostName, "path-prefix": rolloutPath, "route-type": "rollout", "timeout-ms": 10000, "target-latency-ms": 400,
		"priority": 1, "backend": engineSvc, "max-attempts": 3, "item-ttl-s": 40.0, "due-ms": 7500, "single-version": false, "session-affinity": true, "resumable": true,
	}
}

func plainRoute() map[string]any {
	return map[string]any{
		"name": "r-x73d3zj", "hostname": hostName, "path-prefix": "/lohu930/", "route-type": "idempotent", "timeout-ms": 1500, "target-latency-ms": 150,
		"priority": 2, "backend": batchService, "max-attempts": 2,
	}
}

func batchBackends() []map[string]any {
	return []map[string]any{
		{"name": engineSvc, "health-path": "/healthz", "max-connections": 180, "protocol": "h1", "tls-enabled": false, "runtime": map[string]any{
			"max-batch-size": 16, "kv-capacity-tokens": 117855, "kv-bytes": 18432, "link-mbps": 2900000.0, "models": []map[string]any{{"name": modelName}},
		}},
		{"name": batchService, "health-path": "/healthz", "max-connections": 110, "protocol": "h1", "tls-enabled": false},
	}
}

// newBatch returns the document of a batch job with groups of four items.
func newBatch(id string, step, items int, payload []byte) []byte {
	var list []map[string]any
	for i := range items {
		list = append(list, map[string]any{
			"id": fmt.Sprintf("%s%04x", id[:12], i), "path": fmt.Sprintf("%s3/%04x", rolloutPath, i),
			"headers": map[string]string{"Model": modelName, "Token-Usage": "540,400", "Prompt-Prefix": fmt.Sprintf("9c2e41:300,%06x:240", i/4)},
			"payload": payload, "token-count": 940, "group-id": fmt.Sprintf("g%s%03x", id[:4], i/4),
		})
	}
	data, _ := json.Marshal(map[string]any{"train-step": step, "model": modelName, "min-version": 1, "target-groups": items / 4, "requests": list})
	return data
}

// page is one page of results.
type page struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Outputs []struct {
		ID       string `json:"id"`
		State    string `json:"state"`
		Text     string `json:"text"`
		Versions []int  `json:"weight-versions"`
	} `json:"outputs"`
}

// submit sends a batch job until it is accepted, at one node after the other.
func (d *deployment) submit(id string, body []byte, limit time.Duration) error {
	next := 0
	return waitFor(limit, func() bool {
		e := d.entries[next%len(d.entries)]
		next++
		a := d.call(e, "POST", rolloutPath+"7c41e0", map[string]string{"Attempt-Id": id, "Content-Type": "application/json"}, body, false, 6*time.Second)
		d.rec.line("trainer submits batch job %s (%d bytes) to %s: %s", id, len(body), e.name, a)
		return a.status == 202
	})
}

// read reads a page of a batch job.
func (d *deployment) read(e *machine, id string, after int) (page, answer) {
	var p page
	a := d.call(e, "GET", fmt.Sprintf("/lots/%s?after=%d", id, after), map[string]string{"Wait-Ms": "1000"}, nil, false, 3*time.Second)
	if a.status == 200 {
		if err := json.Unmarshal(a.body, &p); err != nil {
			a.err = err
		}
	}
	return p, a
}

// readAll reads all results of a batch job until the limit.
func (d *deployment) readAll(id string, limit time.Duration) (page, error) {
	var all page
	next := 0
	err := waitFor(limit, func() bool {
		p, a := d.read(d.entries[next%len(d.entries)], id, all.Next)
		next++
		if a.status != 200 || a.err != nil {
			d.rec.line("read of %s after %d: %s", id, all.Next, a)
			return false
		}
		all.Total, all.Next = p.Total, p.Next
		all.Outputs = append(all.Outputs, p.Outputs...)
		return all.Total > 0 && all.Next >= all.Total
	})
	d.rec.line("trainer has read %d of %d results of %s", all.Next, all.Total, id)
	return all, err
}
