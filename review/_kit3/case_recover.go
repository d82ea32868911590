package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["recover"] = runRecover }

// post submits a batch job once and returns the status, 0 without an answer.
func (d *deployment) post(id string, data []byte, entry int) int {
	req, _ := http.NewRequest("POST", fmt.Sprintf("http://%s:%d/llm/%s", d.entry[entry%len(d.entry)].ip, ingressPort, id), bytes.NewReader(data))
	req.Host = "llm.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		d.rec.logf("batch job %s at %s: %v", id, d.entry[entry%len(d.entry)].name, err)
		return 0
	}
	resp.Body.Close()
	d.rec.logf("batch job %s at %s: %d", id, d.entry[entry%len(d.entry)].name, resp.StatusCode)
	return resp.StatusCode
}

// runRecover: a state VM loses its disk while trainers submit steps of some megabytes.
func runRecover(e *env) (result, error) {
	d, err := newDeployment(e.rec, e.binary, 3)
	if d != nil {
		defer d.stop(os.Getenv("KEEP") != "")
	}
	if err != nil {
		return result{}, err
	}
	const slots = 16
	g := newEngines(&recorder{out: io.Discard, start: e.rec.start}, 4, 20*time.Millisecond)
	var first *server
	for i := range 4 {
		s, err := startServer(d, fmt.Sprintf("i-llm%d", i), "llm", zones[i%3], slots, "m0", g.serve)
		if err != nil {
			return result{}, err
		}
		defer s.stop()
		if i == 0 {
			first = s
		}
	}
	status, body, err := d.control("POST", "/config/replace", manifest(3, []map[string]any{llmService(slots)}, rolloutRoute()), 20*time.Second)
	if err != nil || status != 200 {
		return result{}, fmt.Errorf("manifest: %d %s %v", status, body, err)
	}
	if err := d.waitReady(10 * time.Second); err != nil {
		return result{}, err
	}
	time.Sleep(3 * time.Second)
	const (
		trainers  = 8
		items     = 64
		itemBytes = 128 << 10
		stepEvery = 4 * time.Second
		before    = 12 * time.Second
		recoverS  = 12 * time.Second
		after     = 16 * time.Second
	)
	payload := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte("p"), itemBytes))
	begin := time.Now()
	faultAt := begin.Add(before)
	var backAt atomic.Int64
	end := begin.Add(before + recoverS + after + 6*time.Second)
	var mu sync.Mutex
	var sentBefore, servedBefore, sentAfter, servedAfter int
	var wg sync.WaitGroup
	for t := range trainers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Now().Before(end); n++ {
				time.Sleep(time.Until(begin.Add(time.Duration(n)*stepEvery + time.Duration(t)*stepEvery/trainers)))
				id := fmt.Sprintf("t%d-%d", t, n)
				doc, ids := batchDoc(id, items, 0)
				for _, it := range doc["requests"].([]any) {
					it.(map[string]any)["payload"] = payload
				}
				data, _ := json.Marshal(doc)
				accepted := false
				for try := 0; !accepted && time.Now().Before(end); try++ {
					sent := time.Now()
					accepted = d.post(id, data, t+try) == 202
					back := backAt.Load()
					mu.Lock()
					switch {
					case sent.Before(faultAt):
						sentBefore++
						if accepted {
							servedBefore++
						}
					case back != 0 && sent.After(time.Unix(0, back).Add(recoverS)):
						sentAfter++
						if accepted {
							servedAfter++
						}
					}
					mu.Unlock()
					if !accepted {
						time.Sleep(500 * time.Millisecond)
					}
				}
				listed := 0
				for since := time.Now(); accepted && listed < len(ids) && time.Since(since) < 12*time.Second; {
					if outputs, _, err := d.read(t, id, listed); err == nil {
						listed += len(outputs)
					}
				}
				req, _ := http.NewRequest("DELETE", fmt.Sprintf("http://%s:%d/lots/%s", d.entry[t%3].ip, ingressPort, id), nil)
				req.Host = "llm.example"
				if resp, err := http.DefaultClient.Do(req); err == nil {
					resp.Body.Close()
				}
			}
		}()
	}
	time.Sleep(time.Until(faultAt))
	first.mu.Lock()
	leader := first.beatTo
	first.mu.Unlock()
	for _, v := range d.state {
		if !e.trouble || leader == "" || strings.HasPrefix(leader, v.ip+":") {
			continue
		}
		if status, body, err := d.control("POST", "/config/replace", manifest(4, []map[string]any{llmService(slots)}, rolloutRoute()), 5*time.Second); err != nil || status != 200 {
			return result{}, fmt.Errorf("manifest 4: %d %s %v", status, body, err)
		}
		e.rec.logf("manifest 4 is acknowledged; %s, which isn't the leader, is killed and comes back with an empty disk", v.name)
		v.signal(syscall.SIGKILL)
		<-v.ended
		data := filepath.Join(v.folder, "data")
		_ = os.RemoveAll(data)
		_ = os.MkdirAll(data, 0o700)
		time.Sleep(2 * time.Second)
		if err := d.start(v); err != nil {
			return result{}, err
		}
		break
	}
	backAt.Store(time.Now().UnixNano())
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	e.rec.logf("before the fault %d of %d submissions were served, later than recover-s after it %d of %d", servedBefore, sentBefore, servedAfter, sentAfter)
	if sentBefore == 0 || servedBefore*2 < sentBefore {
		return result{}, fmt.Errorf("only %d of %d submissions were served before the fault", servedBefore, sentBefore)
	}
	return result{broken: servedAfter*4 < sentAfter, detail: fmt.Sprintf("served before the fault %d of %d, later than recover-s after it %d of %d", servedBefore, sentBefore, servedAfter, sentAfter)}, nil
}
