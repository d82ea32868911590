package main

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	rolloutPrefix = "/pufi791/"
	shopPrefix    = "/lohu930/"
)

// manifest returns a manifest with a rollout route and an idempotent route, as PROTOCOL.md shows it.
func manifest(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-i9n73hh", "hostname": host, "path-prefix": rolloutPrefix, "route-type": "rollout", "timeout-ms": 10000, "target-latency-ms": 400, "priority": 1, "backend": tutorService, "max-attempts": 3, "item-ttl-s": 40.0, "due-ms": 7500, "single-version": false, "session-affinity": true, "resumable": true},
			map[string]any{"name": "r-x73d3zj", "hostname": host, "path-prefix": shopPrefix, "route-type": "idempotent", "timeout-ms": 2000, "target-latency-ms": 150, "priority": 2, "backend": shopService, "max-attempts": 2},
		},
		"backends": []any{
			map[string]any{"name": tutorService, "health-path": "/healthz", "max-connections": 150, "protocol": "h1", "tls-enabled": false, "runtime": map[string]any{"max-batch-size": 12, "kv-capacity-tokens": 80901, "kv-bytes": 18432, "link-mbps": 2200000.0, "moves": true, "backups": true, "models": []any{map[string]any{"name": model}}}},
			map[string]any{"name": shopService, "health-path": "/healthz", "max-connections": 100, "protocol": "h1", "tls-enabled": false},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 33554432, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Payload []byte            `json:"payload"`
	Tokens  int               `json:"token-count"`
	Group   string            `json:"group-id"`
}

type batch struct {
	Step         int    `json:"train-step"`
	Model        string `json:"model"`
	MinVersion   int    `json:"min-version"`
	TargetGroups int    `json:"target-groups"`
	Items        []item `json:"requests"`

	id string
}

// newBatch returns a batch of items in groups of the given size.
func newBatch(id string, step, groups, size int) *batch {
	b := &batch{Step: step, Model: model, MinVersion: 1, TargetGroups: groups, id: id}
	for g := range groups {
		for i := range size {
			name := fmt.Sprintf("%s-%02d-%02d", id, g, i)
			b.Items = append(b.Items, item{
				ID: name, Path: rolloutPrefix + "3/" + name, Headers: map[string]string{"Model": model, "Token-Usage": "64,64", "Prompt-Prefix": fmt.Sprintf("9c2e41:48,%x:16", 0x5d0000+g)},
				Payload: []byte("prompt of " + name), Tokens: 128, Group: fmt.Sprintf("%s-g%02d", id, g),
			})
		}
	}
	return b
}

// submit submits a batch as a trainer does: after anything but a 202, again at another node.
func (d *deployment) submit(b *batch, tries int) error {
	body, _ := json.Marshal(b)
	var last string
	for i := range tries {
		n := d.entries[i%len(d.entries)]
		status, _, text, err := call("POST", n.ingress(), host, rolloutPrefix+b.id, map[string]string{"Attempt-Id": b.id, "Content-Type": "application/json"}, body, 6*time.Second)
		last = fmt.Sprintf("batch job %s of %d items, %d bytes, sent to %s: %d %.200s %v", b.id, len(b.Items), len(body), n.name, status, text, err)
		d.record.add("%s", last)
		if err == nil && status == 202 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("%s", last)
}

type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// read reads the results from a position on.
func (d *deployment) read(n *node, id string, after int) (status int, results []result, next int) {
	status, _, text, err := call("GET", n.ingress(), host, fmt.Sprintf("/lots/%s?after=%d", id, after), map[string]string{"Wait-Ms": "500"}, nil, 3*time.Second)
	if err != nil || status != 200 {
		return status, nil, after
	}
	var page struct {
		Next    int      `json:"next"`
		Outputs []result `json:"outputs"`
	}
	if json.Unmarshal(text, &page) != nil {
		return 0, nil, after
	}
	return 200, page.Outputs, page.Next
}
