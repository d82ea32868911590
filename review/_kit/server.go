package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in for a backend server. It does what the page on the protocol says of a sound server; handle is the
// part that differs between the cases.
type server struct {
	d        *deployment
	id       string
	service  string
	zone     string
	slots    int
	model    string // empty for a plain service
	version  int
	born     int64
	listener net.Listener
	// handle runs a request that this server is expected to run.
	handle func(c *serverConn, r *http.Request, body []byte)

	mu       sync.Mutex
	sequence int
	orders   int
	draining bool
	closed   bool
}

// serverConn is one channel to a stand-in.
type serverConn struct {
	net.Conn
	br *bufio.Reader
	// before, if not empty, is written when the next request has arrived on the channel, before its answer.
	before []byte
}

func (d *deployment) newServer(id, service, zone string, number, slots int, model string) (*server, error) {
	ln, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", d.prefix, number))
	if err != nil {
		return nil, err
	}
	s := &server{d: d, id: id, service: service, zone: zone, slots: slots, model: model, version: 1, born: time.Now().UnixMilli(), listener: ln}
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

// run serves channels and sends pings.
func (s *server) run() {
	go func() {
		for {
			nc, err := s.listener.Accept()
			if err != nil {
				return
			}
			go s.serve(nc)
		}
	}()
	go s.announceLoop()
}

func (s *server) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.listener.Close()
}

func (s *server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// announceLoop sends a ping each 1.2 s, to one node after the other until one acknowledges it.
func (s *server) announceLoop() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for next := 0; !s.isClosed(); {
		s.mu.Lock()
		s.sequence++
		state := "ready"
		if s.draining {
			state = "draining"
		}
		ping := map[string]any{
			"backend": s.service, "address": s.address(), "zone": s.zone, "version": "v1", "max-batch-size": s.slots, "state": state,
			"cold-left-ms": 0, "sequence": s.sequence, "born": s.born,
		}
		if s.model != "" {
			ping["phase-kind"] = "hybrid"
			ping["models"] = []map[string]any{{"name": s.model, "version": s.version, "adapters": []string{}}}
		}
		s.mu.Unlock()
		body, _ := json.Marshal(ping)
		for range 2 * len(s.d.states) {
			v := s.d.states[next%len(s.d.states)]
			r, err := client.Post(fmt.Sprintf("http://%s:%d/instances/%s/heartbeat", v.ip, s.d.control, s.id), "application/json", bytes.NewReader(body))
			if err == nil {
				r.Body.Close()
				if r.StatusCode/100 == 2 {
					break
				}
			}
			next++
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

func (s *server) serve(nc net.Conn) {
	defer nc.Close()
	c := &serverConn{Conn: nc, br: bufio.NewReader(nc)}
	for !s.isClosed() {
		r, err := http.ReadRequest(c.br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if c.before != nil {
			if _, err := c.Write(c.before); err != nil {
				return
			}
			c.before = nil
		}
		switch {
		case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != s.id:
			c.reply(r, 421, map[string]string{"Not-Executed": "1", "Instance-Id": s.id}, nil)
		case r.URL.Path == "/healthz":
			c.reply(r, 200, map[string]string{"Instance-Id": s.id}, nil)
		case s.model != "" && r.URL.Path == "/report":
			c.reply(r, 200, map[string]string{"Content-Type": "application/json"}, s.report())
		case s.model != "" && r.URL.Path == "/order":
			s.order(c, r, body)
		case r.Header.Get("Attempt-Id") == "":
			c.reply(r, 400, map[string]string{"Not-Executed": "1"}, nil)
		default:
			s.handle(c, r, body)
		}
		if r.Close {
			return
		}
	}
}

func (s *server) report() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, _ := json.Marshal(map[string]any{
		"phase-kind": "hybrid", "models": []map[string]any{{"name": s.model, "version": s.version, "adapters": []string{}}}, "busy": false,
		"sequence": s.orders, "queued": 0, "active": 0, "kv-used-tokens": 0, "kv-total-tokens": 117855, "capabilities": 0,
	})
	return data
}

// order loads a version at once.
func (s *server) order(c *serverConn, r *http.Request, body []byte) {
	var o struct {
		Version  int  `json:"version"`
		Expected *int `json:"expected"`
	}
	if json.Unmarshal(body, &o) != nil {
		c.reply(r, 400, nil, nil)
		return
	}
	s.mu.Lock()
	code := 202
	switch {
	case o.Expected != nil && *o.Expected != s.orders:
		code = 409
	case s.version == o.Version:
		code = 200
	default:
		s.version = o.Version
		s.orders++
	}
	s.mu.Unlock()
	c.reply(r, code, nil, nil)
}

// signature is the MAC of an answer. Nothing here checks it; it only has to be there.
func signature(id string, body []byte) string {
	sum := sha256.Sum256(append([]byte(id), body...))
	return fmt.Sprintf("%x", sum[:12])
}

// answerBytes returns a complete answer to a request, with its Attempt-Id.
func answerBytes(r *http.Request, code int, header map[string]string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", code, http.StatusText(code))
	if id := r.Header.Get("Attempt-Id"); id != "" {
		fmt.Fprintf(&b, "Attempt-Id: %s\r\n", id)
	}
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	fmt.Fprintf(&b, "Keep-Alive: timeout=30\r\nContent-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

func (c *serverConn) reply(r *http.Request, code int, header map[string]string, body []byte) {
	_, _ = c.Write(answerBytes(r, code, header, body))
}

// stream answers with server-sent events in chunks: each element of events is the text of one event without its id.
// Each event is sent as "id", then one "data" line for each line of its text.
func (s *server) stream(c *serverConn, r *http.Request, events []string, pause time.Duration) bool {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	id := r.Header.Get("Attempt-Id")
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\nWeight-Versions: %d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=30\r\n\r\n", id, signature(id, nil), version); err != nil {
		return false
	}
	for i := after; i < len(events); i++ {
		time.Sleep(pause)
		var e bytes.Buffer
		fmt.Fprintf(&e, "id: %d\n", i+1)
		for _, line := range bytes.Split([]byte(events[i]), []byte("\n")) {
			fmt.Fprintf(&e, "data: %s\n", line)
		}
		e.WriteString("\n")
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", e.Len(), e.Bytes()); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
