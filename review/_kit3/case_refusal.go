package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["refusal"] = runRefusal }

type route map[string]any

func manifest(version int, services []map[string]any, routes ...route) map[string]any {
	return map[string]any{"version": version, "routes": routes, "backends": services, "limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 33554432, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health-path": "/healthz", "max-connections": 100, "protocol": "h1", "tls-enabled": false}
}

// runs counts how often each request ran.
type runs struct {
	mu sync.Mutex
	by map[string][]string
}

func (r *runs) add(id, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.by == nil {
		r.by = map[string][]string{}
	}
	r.by[id] = append(r.by[id], server)
}

// dose bounds how often a faulty server spoils its answers: one answer in every, for a time.
type dose struct {
	mu    sync.Mutex
	every int
	from  time.Time
	last  time.Duration
	n     int
	hits  int
}

func (f *dose) hit() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.from.IsZero() || time.Since(f.from) < 0 || time.Since(f.from) > f.last {
		return false
	}
	f.n++
	if f.n%f.every != 0 {
		return false
	}
	f.hits++
	return true
}

func (f *dose) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.from = time.Now()
}

// runRefusal: a faulty server sends additional bytes after a few of its complete answers. They read like a refusal that names no request.
func runRefusal(e *env) (result, error) {
	d, err := newDeployment(e.rec, e.binary, 1)
	if d != nil {
		defer d.stop(os.Getenv("KEEP") != "")
	}
	if err != nil {
		return result{}, err
	}
	var ran runs
	var extra sync.Map // by connection: the additional bytes that are still to be sent
	faulty := &dose{every: 34, last: 5500 * time.Millisecond}
	serve := func(s *server, nc net.Conn, r *request) error {
		id := r.Header.Get("Attempt-Id")
		if pending, ok := extra.LoadAndDelete(nc); ok {
			e.rec.logf("%s sends additional bytes, late: %q", s.id, pending)
			if _, err := io.WriteString(nc, pending.(string)); err != nil {
				return err
			}
		}
		ran.add(id, s.id)
		e.rec.logf("%s runs %s", s.id, id)
		time.Sleep(21 * time.Millisecond)
		if err := answer(nc, r, 200, "sig."+id, "done "+id); err != nil {
			return err
		}
		if e.trouble && s.id == "i-pay0" && faulty.hit() {
			extra.Store(nc, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		}
		return nil
	}
	for i := range 2 {
		s, err := startServer(d, fmt.Sprintf("i-pay%d", i), "pay", zones[i], 6, "", serve)
		if err != nil {
			return result{}, err
		}
		defer s.stop()
	}
	m := manifest(3, []map[string]any{plainService("pay")}, route{"name": "r-pay", "hostname": "pay.example", "path-prefix": "/pay/", "route-type": "non_idempotent", "timeout-ms": 2000, "target-latency-ms": 150, "priority": 1, "backend": "pay", "max-attempts": 2})
	status, body, err := d.control("POST", "/config/replace", m, 20*time.Second)
	if err != nil || status != 200 {
		return result{}, fmt.Errorf("manifest: %d %s %v", status, body, err)
	}
	if err := d.waitReady(10 * time.Second); err != nil {
		return result{}, err
	}
	time.Sleep(3 * time.Second)
	faulty.begin()
	var wg sync.WaitGroup
	var served, sent atomic.Int64
	stop := time.Now().Add(faulty.last + 500*time.Millisecond)
	for c := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}
			for n := 0; time.Now().Before(stop); n++ {
				id := fmt.Sprintf("c%d%014x", c, n+1)
				req, _ := http.NewRequest("POST", fmt.Sprintf("http://%s:%d/pay/%d", d.entry[0].ip, ingressPort, n), strings.NewReader(`{"amount":1}`))
				req.Host = "pay.example"
				req.Header.Set("Attempt-Id", id)
				req.Header.Set("Deadline-Ms", "2000")
				sent.Add(1)
				resp, err := client.Do(req)
				if err != nil {
					e.rec.logf("%s: no answer: %v", id, err)
					continue
				}
				text, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				if resp.StatusCode == 200 {
					served.Add(1)
				}
				e.rec.logf("%s: answered %d, signature %q, %.60q", id, resp.StatusCode, resp.Header.Get("Response-Signature"), text)
			}
		}()
	}
	wg.Wait()
	time.Sleep(time.Second)
	twice := 0
	ran.mu.Lock()
	defer ran.mu.Unlock()
	for id, list := range ran.by {
		if len(list) > 1 {
			twice++
			e.rec.logf("%s ran %d times: %v", id, len(list), list)
		}
	}
	if served.Load() < sent.Load()*9/10 {
		return result{}, fmt.Errorf("only %d of %d requests were served", served.Load(), sent.Load())
	}
	return result{broken: twice > 0, detail: fmt.Sprintf("%d of %d requests of a non_idempotent route ran more than once; %d answers were followed by additional bytes", twice, sent.Load(), faulty.hits)}, nil
}
