package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["body"] = runBody }

// runBody: servers of a plain service turn slow by turns, so that answers come about when a second attempt begins.
func runBody(e *env) (result, error) {
	d, err := newDeployment(e.rec, e.binary, 1)
	if d != nil {
		defer d.stop(os.Getenv("KEEP") != "")
	}
	if err != nil {
		return result{}, err
	}
	const (
		servers  = 5
		work     = 24900 * time.Microsecond // and up to 0.3 ms more or less
		slowdown = 3
		slowFor  = 8 * time.Second
		periods  = 8
	)
	var slow atomic.Int64 // the number of the slow server, -1 if there is none
	slow.Store(-1)
	var ran, changed atomic.Int64
	serve := func(s *server, nc net.Conn, r *request) error {
		ran.Add(1)
		id := r.Header.Get("Attempt-Id")
		if !strings.HasPrefix(string(r.body), `{"order":"`+id+`"`) {
			changed.Add(1)
			e.rec.logf("%s runs %s %s with the body %.40q", s.id, id, r.URL.Path, r.body)
		}
		took := work + time.Duration(rand.Int63n(int64(600*time.Microsecond))) - 300*time.Microsecond
		if s.id == fmt.Sprintf("i-pay%d", slow.Load()) {
			took *= slowdown
		}
		time.Sleep(took)
		return answer(nc, r, 200, "sig."+id, "done "+id)
	}
	for i := range servers {
		s, err := startServer(d, fmt.Sprintf("i-pay%d", i), "pay", zones[i%3], 32, "", serve)
		if err != nil {
			return result{}, err
		}
		defer s.stop()
	}
	m := manifest(3, []map[string]any{plainService("pay")}, route{"name": "r-pay", "hostname": "pay.example", "path-prefix": "/pay/", "route-type": "idempotent", "timeout-ms": 2000, "target-latency-ms": 150, "priority": 1, "backend": "pay", "max-attempts": 2})
	if st, b, err := d.control("POST", "/config/replace", m, 20*time.Second); err != nil || st != 200 {
		return result{}, fmt.Errorf("manifest: %d %s %v", st, b, err)
	}
	if err := d.waitReady(15 * time.Second); err != nil {
		return result{}, err
	}
	time.Sleep(3 * time.Second)
	stop := time.Now().Add(periods * slowFor)
	go func() {
		for p := range periods {
			if e.trouble {
				slow.Store(int64(p % servers))
				e.rec.logf("i-pay%d is slow for %s", p%servers, slowFor)
			}
			time.Sleep(slowFor)
		}
		slow.Store(-1)
	}()
	var wg sync.WaitGroup
	var sent, served atomic.Int64
	for c := range 48 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}
			for n := 0; time.Now().Before(stop); n++ {
				id := fmt.Sprintf("c%03d%09d", c, n)
				req, _ := http.NewRequest("POST", fmt.Sprintf("http://%s:%d/pay/%s", d.entry[0].ip, ingressPort, id), strings.NewReader(`{"order":"`+id+`","text":"`+strings.Repeat("x", 560)+`"}`))
				req.Host = "pay.example"
				req.Header.Set("Attempt-Id", id)
				req.Header.Set("Deadline-Ms", "1500")
				sent.Add(1)
				resp, err := client.Do(req)
				if err != nil {
					e.rec.logf("%s: no answer: %v", id, err)
					continue
				}
				text, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				if resp.StatusCode == 200 && string(text) == "done "+id {
					served.Add(1)
				} else {
					e.rec.logf("%s: answered %d %.60q", id, resp.StatusCode, text)
				}
			}
		}()
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	if served.Load() < sent.Load()*9/10 {
		return result{}, fmt.Errorf("only %d of %d requests were served", served.Load(), sent.Load())
	}
	return result{broken: changed.Load() > 0, detail: fmt.Sprintf("%d requests sent, %d served, %d runs at servers, %d of them with the body of another request", sent.Load(), served.Load(), ran.Load(), changed.Load())}, nil
}
