package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	tutorService = "huvo11a" // model servers
	shopService  = "wuno96b" // plain servers
	model        = "daka510000"
)

// run is one run of a request at a server.
type run struct {
	id     string
	server string
	begun  time.Time
	ended  time.Time
}

// server is a stand-in for a server. It answers requests, streams and orders as the pages say, and announces itself.
type server struct {
	d       *deployment
	id      string
	service string
	zone    string
	address string
	slots   int
	event   time.Duration // time between two events
	events  int
	data    func(item string, n int) string // data of event n of an item

	mu       sync.Mutex
	born     int64
	sequence int
	orders   int
	version  int
	running  int
	runs     []*run
	state    string
	beatAt   string // address for the next pings
	http     *http.Server
	quit     chan struct{}
}

// startServer starts a server at an address, or at a free port if it is empty.
func (d *deployment) startServer(id, service, zone, address string, slots int) (*server, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &server{
		d: d, id: id, service: service, zone: zone, address: ln.Addr().String(), slots: slots, born: time.Now().UnixMilli(), version: 1, state: "ready",
		event: 50 * time.Millisecond, events: 12, quit: make(chan struct{}),
	}
	s.data = func(item string, n int) string { return fmt.Sprintf("%s/%d", item, n) }
	s.http = &http.Server{Handler: s}
	go s.http.Serve(ln)
	d.record.add("server %s of %s starts at %s, born %d", id, service, s.address, s.born)
	return s, nil
}

// stop ends the server's process at once.
func (s *server) stop() {
	s.http.Close()
	close(s.quit)
	s.d.record.add("server %s (born %d) has ended", s.id, s.born)
}

func (s *server) ping() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	m := map[string]any{
		"backend": s.service, "address": s.address, "zone": s.zone, "version": "v1", "max-batch-size": s.slots, "state": s.state, "cold-left-ms": 0,
		"phase-kind": "hybrid", "sequence": s.sequence, "born": s.born, "models": []any{},
	}
	if s.service == tutorService {
		m["models"] = []any{map[string]any{"name": model, "version": s.version, "adapters": []any{}}}
	}
	return m
}

// sendPing sends one ping: to the address that the last answer named, and after a failure to the next VM.
func (s *server) sendPing() bool {
	body, _ := json.Marshal(s.ping())
	s.mu.Lock()
	first := s.beatAt
	s.mu.Unlock()
	var targets []string
	if first != "" {
		targets = append(targets, first)
	}
	for _, n := range s.d.states {
		if n.control() != first {
			targets = append(targets, n.control())
		}
	}
	for _, t := range targets {
		status, _, text, err := call("POST", t, "", "/instances/"+s.id+"/heartbeat", map[string]string{"Content-Type": "application/json"}, body, time.Second)
		if err != nil || status/100 != 2 {
			continue
		}
		var reply struct {
			Address string `json:"heartbeat-addr"`
		}
		_ = json.Unmarshal(text, &reply)
		s.mu.Lock()
		s.beatAt = reply.Address
		s.mu.Unlock()
		return true
	}
	return false
}

// announce sends pings until the server stops.
func (s *server) announce() {
	for {
		s.sendPing()
		select {
		case <-s.quit:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e := r.Header.Get("Expect-Instance"); e != "" && e != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Instance-Id", s.id)
		return
	case "/report":
		s.mu.Lock()
		defer s.mu.Unlock()
		json.NewEncoder(w).Encode(map[string]any{
			"phase-kind": "hybrid", "models": []any{map[string]any{"name": model, "version": s.version, "adapters": []any{}}}, "busy": false,
			"sequence": s.orders, "queued": 0, "active": s.running, "kv-used-tokens": 0, "kv-total-tokens": 80901, "capabilities": 0,
		})
		return
	case "/order":
		var o struct {
			Version  int  `json:"version"`
			Expected *int `json:"expected"`
		}
		json.NewDecoder(r.Body).Decode(&o)
		s.mu.Lock()
		defer s.mu.Unlock()
		switch {
		case o.Expected != nil && *o.Expected != s.orders:
			w.WriteHeader(http.StatusConflict)
		case o.Version <= s.version:
		default:
			s.version, s.orders = o.Version, s.orders+1
			w.WriteHeader(http.StatusAccepted)
		}
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	s.mu.Lock()
	if s.running >= s.slots {
		s.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	q := &run{id: id, server: s.id, begun: time.Now()}
	s.runs = append(s.runs, q)
	version := s.version
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		q.ended = time.Now()
		s.mu.Unlock()
	}()
	w.Header().Set("Response-Signature", fmt.Sprintf("3e1b.07.%x.600.0.c9f2a4d1", len(body)))
	if s.service != tutorService {
		s.d.record.add("server %s runs %s", s.id, id)
		time.Sleep(20 * time.Millisecond)
		fmt.Fprintf(w, "answer of %s to %s", s.id, id)
		return
	}
	after, _ := strconv.Atoi(strings.TrimSpace(r.Header.Get("Last-Event-Id")))
	s.d.record.add("server %s runs %s after event %d", s.id, id, after)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.Itoa(version))
	w.WriteHeader(http.StatusOK)
	flush := w.(http.Flusher)
	flush.Flush()
	for n := after + 1; n <= s.events; n++ {
		select {
		case <-r.Context().Done():
			s.d.record.add("server %s: run of %s ends at event %d, the connection was closed", s.id, id, n)
			return
		case <-s.quit:
			panic(http.ErrAbortHandler) // the stream breaks, as at the end of a process
		case <-time.After(s.event):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, s.data(id, n))
		flush.Flush()
	}
	s.d.record.add("server %s has finished %s", s.id, id)
}

// runsOf returns when an item was last at a server, and whether it is at one now.
func runsOf(servers []*server, id string) (count int, last time.Time, running bool) {
	for _, s := range servers {
		s.mu.Lock()
		for _, q := range s.runs {
			if q.id != id {
				continue
			}
			count++
			if q.ended.IsZero() {
				running = true
			} else if q.ended.After(last) {
				last = q.ended
			}
		}
		s.mu.Unlock()
	}
	return
}
