package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// request is a request that a stand-in server has read.
type request struct {
	*http.Request
	body []byte
}

// server is a stand-in for a backend server. It answers health checks, reports and orders as the protocol page says, and passes other
// requests to serve, which writes the raw answer.
type server struct {
	id, service, zone, addr string
	slots                   int
	born                    int64
	rec                     *recorder
	d                       *deployment
	serve                   func(s *server, nc net.Conn, r *request) error

	mu       sync.Mutex
	sequence uint64
	model    string
	version  uint64
	orders   uint64
	state    string
	beatTo   string
	stopped  chan struct{}
	ln       net.Listener
}

// startServer starts a stand-in at a loopback address and announces it.
func startServer(d *deployment, id, service, zone string, slots int, model string, serve func(*server, net.Conn, *request) error) (*server, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, addr: ln.Addr().String(), slots: slots, born: time.Now().UnixMilli(), rec: d.rec, d: d, serve: serve, model: model, version: 1, state: "ready", stopped: make(chan struct{}), ln: ln}
	go s.accept()
	go s.announceLoop()
	return s, nil
}

func (s *server) accept() {
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			return
		}
		go s.serveConn(nc)
	}
}

func (s *server) serveConn(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		hr, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(hr.Body)
		if err != nil {
			return
		}
		r := &request{hr, body}
		if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
			fmt.Fprintf(nc, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Attempt-Id"), s.id)
			continue
		}
		switch {
		case r.Method == "GET" && r.URL.Path == "/healthz":
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
		case r.Method == "GET" && r.URL.Path == "/report":
			s.mu.Lock()
			doc, _ := json.Marshal(map[string]any{"phase-kind": "hybrid", "models": []any{map[string]any{"name": s.model, "version": s.version, "adapters": []any{}}}, "busy": false, "sequence": s.orders, "queued": 0, "active": 0, "kv-used-tokens": 0, "kv-total-tokens": 90000, "capabilities": 0})
			s.mu.Unlock()
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(doc), doc)
		case r.Method == "POST" && r.URL.Path == "/order":
			s.takeOrder(nc, r)
		default:
			if err := s.serve(s, nc, r); err != nil {
				return
			}
		}
	}
}

func (s *server) takeOrder(nc net.Conn, r *request) {
	var o struct {
		Version  uint64  `json:"version"`
		Expected *uint64 `json:"expected"`
	}
	status := 202
	s.mu.Lock()
	switch err := json.Unmarshal(r.body, &o); {
	case err != nil:
		status = 400
	case o.Version == s.version:
		status = 200
	case o.Expected != nil && *o.Expected != s.orders:
		status = 409
	default:
		s.orders++
		s.version = o.Version
	}
	s.mu.Unlock()
	s.rec.logf("%s got order %s: %d", s.id, bytes.TrimSpace(r.body), status)
	fmt.Fprintf(nc, "HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status)
}

// announceLoop sends heartbeats to the state VMs until the server stops.
func (s *server) announceLoop() {
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	for next := 0; ; {
		if !s.beat(&next) {
			return
		}
		select {
		case <-ticker.C:
		case <-s.stopped:
			return
		}
	}
}

func (s *server) beat(next *int) bool {
	s.mu.Lock()
	s.sequence++
	doc := map[string]any{"backend": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "max-batch-size": s.slots, "state": s.state, "cold-left-ms": 0, "phase-kind": "hybrid", "sequence": s.sequence, "born": s.born}
	doc["models"] = []any{}
	if s.model != "" {
		doc["models"] = []any{map[string]any{"name": s.model, "version": s.version, "adapters": []any{}}}
	}
	to := s.beatTo
	s.mu.Unlock()
	data, _ := json.Marshal(doc)
	client := &http.Client{Timeout: time.Second}
	for range 4 {
		select {
		case <-s.stopped:
			return false
		default:
		}
		if to == "" {
			to = fmt.Sprintf("%s:%d", s.d.state[*next%len(s.d.state)].ip, controlPort)
			*next++
		}
		resp, err := client.Post("http://"+to+"/instances/"+s.id+"/heartbeat", "application/json", bytes.NewReader(data))
		if err == nil {
			var a struct {
				Address string `json:"heartbeat-addr"`
			}
			_ = json.NewDecoder(resp.Body).Decode(&a)
			resp.Body.Close()
			if resp.StatusCode/100 == 2 {
				s.mu.Lock()
				s.beatTo = a.Address
				s.mu.Unlock()
				return true
			}
		}
		to = ""
	}
	s.mu.Lock()
	s.beatTo = ""
	s.mu.Unlock()
	return true
}

func (s *server) stop() {
	close(s.stopped)
	s.ln.Close()
}

// answer writes a complete signed answer.
func answer(w io.Writer, r *request, status int, signature, body string) error {
	_, err := fmt.Fprintf(w, "HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Attempt-Id"), signature, len(body), body)
	return err
}
