package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"
)

func init() { cases["writer"] = runWriter }

// runWriter: pings of another writer, in which fields are missing, come while a step runs.
func runWriter(e *env) (result, error) {
	d, err := newDeployment(e.rec, e.binary, 1)
	if d != nil {
		defer d.stop(os.Getenv("KEEP") != "")
	}
	if err != nil {
		return result{}, err
	}
	g := newEngines(e.rec, 10, 100*time.Millisecond)
	const slots = 4
	var list []*server
	for i := range 2 {
		s, err := startServer(d, fmt.Sprintf("i-llm%d", i), "llm", zones[i], slots, "m0", g.serve)
		if err != nil {
			return result{}, err
		}
		defer s.stop()
		list = append(list, s)
	}
	status, body, err := d.control("POST", "/config/replace", manifest(3, []map[string]any{llmService(slots)}, rolloutRoute()), 20*time.Second)
	if err != nil || status != 200 {
		return result{}, fmt.Errorf("manifest: %d %s %v", status, body, err)
	}
	if err := d.waitReady(10 * time.Second); err != nil {
		return result{}, err
	}
	time.Sleep(4 * time.Second)
	doc, ids := batchDoc("b1", 56, 0)
	submitted := time.Now()
	if err := d.submit("b1", doc, 3*time.Second); err != nil {
		return result{}, err
	}
	time.Sleep(2 * time.Second)
	for i, s := range list {
		if !e.trouble {
			break
		}
		ping := map[string]any{"backend": "llm", "address": s.addr, "zone": s.zone, "state": "ready", "sequence": 1, "born": time.Now().UnixMilli()}
		data, _ := json.Marshal(ping)
		resp, err := http.Post(fmt.Sprintf("http://%s:%d/instances/w-%d/heartbeat", d.state[0].ip, controlPort, i), "application/json", bytes.NewReader(data))
		if err != nil {
			return result{}, err
		}
		resp.Body.Close()
		e.rec.logf("ping of another writer for w-%d, without version, max-batch-size and cold-left-ms: %s: answered %d", i, data, resp.StatusCode)
	}
	return d.judgeStep(g, "b1", ids, submitted, time.Now(), 2*slots)
}
