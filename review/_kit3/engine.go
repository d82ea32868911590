package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// engines is what the stand-in model servers ran.
type engines struct {
	rec    *recorder
	events int           // of each item
	every  time.Duration // between two events

	mu      sync.Mutex
	running map[string]int // by item
	byID    map[string]int // items in work, by server ID
	begun   map[string]time.Time
	lastAt  map[string]time.Time // when an item was last at a server
	done    map[string]bool
}

func newEngines(rec *recorder, events int, every time.Duration) *engines {
	return &engines{rec: rec, events: events, every: every, running: map[string]int{}, byID: map[string]int{}, begun: map[string]time.Time{}, lastAt: map[string]time.Time{}, done: map[string]bool{}}
}

func (g *engines) enter(s *server, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[id]++
	g.byID[s.id]++
	if _, ok := g.begun[id]; !ok {
		g.begun[id] = time.Now()
	}
	g.lastAt[id] = time.Now()
}

func (g *engines) leave(s *server, id string, done bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[id]--
	g.byID[s.id]--
	g.lastAt[id] = time.Now()
	g.done[id] = g.done[id] || done
}

// atServer reports whether an item is at a server now.
func (g *engines) atServer(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running[id] > 0
}

func (g *engines) isDone(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.done[id]
}

// begunItems returns how many items have begun.
func (g *engines) begunItems() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.begun)
}

func (g *engines) inWork() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, c := range g.byID {
		n += c
	}
	return n
}

// textOf returns the data of an event of an item.
func textOf(id string, event int) string { return fmt.Sprintf("%s/%d", id, event) }

// wholeText returns the whole output of an item.
func (g *engines) wholeText(id string) string {
	var b bytes.Buffer
	for i := 1; i <= g.events; i++ {
		if i > 1 {
			b.WriteByte('\n')
		}
		b.WriteString(textOf(id, i))
	}
	return b.String()
}

// serve runs an item as a stream of events in chunks.
func (g *engines) serve(s *server, nc net.Conn, r *request) error {
	id := r.Header.Get("Attempt-Id")
	from := 0
	fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
	g.enter(s, id)
	g.rec.logf("%s runs %s from event %d", s.id, id, from+1)
	finished := false
	defer func() { g.leave(s, id, finished) }()
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	if _, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: sig.%s\r\nWeight-Versions: %d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id, version); err != nil {
		return err
	}
	for i := from + 1; i <= g.events; i++ {
		time.Sleep(g.every)
		if gone(nc) {
			g.rec.logf("%s: the caller of %s has left", s.id, id)
			return io.EOF
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, textOf(id, i))
		if _, err := fmt.Fprintf(nc, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
	}
	finished = true
	_, err := io.WriteString(nc, "0\r\n\r\n")
	return err
}

// gone reports whether the peer has closed the connection.
func gone(nc net.Conn) bool {
	nc.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer nc.SetReadDeadline(time.Time{})
	var b [1]byte
	n, err := nc.Read(b[:])
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		return false
	}
	return n == 0 && err != nil
}

// batchDoc returns a batch job of one group of items.
func batchDoc(id string, items, minVersion int) (map[string]any, []string) {
	var list []any
	var ids []string
	for i := range items {
		item := fmt.Sprintf("%s-%03d", id, i)
		ids = append(ids, item)
		list = append(list, map[string]any{"id": item, "path": "/llm/gen", "headers": map[string]any{"Model": "m0", "Token-Usage": "100,100", "Prompt-Prefix": "ab12:90"}, "payload": base64.StdEncoding.EncodeToString([]byte("prompt " + item)), "token-count": 200, "group-id": fmt.Sprintf("%s-g%d", id, i/8)})
	}
	return map[string]any{"train-step": 0, "model": "m0", "min-version": minVersion, "target-groups": (items + 7) / 8, "requests": list}, ids
}

func llmService(slots int) map[string]any {
	s := plainService("llm")
	s["runtime"] = map[string]any{"max-batch-size": slots, "kv-capacity-tokens": 117855, "kv-bytes": 18432, "models": []any{map[string]any{"name": "m0"}}}
	return s
}

func rolloutRoute() route {
	return route{"name": "r-llm", "hostname": "llm.example", "path-prefix": "/llm/", "route-type": "rollout", "timeout-ms": 10000, "target-latency-ms": 400, "priority": 1, "backend": "llm", "max-attempts": 3, "item-ttl-s": 40.0, "due-ms": 7500, "single-version": false, "session-affinity": true, "resumable": true}
}

// submit submits a batch job as a trainer does: again, at another entry VM, after any answer but 202.
func (d *deployment) submit(id string, doc map[string]any, limit time.Duration) error {
	data, _ := json.Marshal(doc)
	deadline := time.Now().Add(limit)
	for i := 0; ; i++ {
		req, _ := http.NewRequest("POST", fmt.Sprintf("http://%s:%d/llm/%s", d.entry[i%len(d.entry)].ip, ingressPort, id), bytes.NewReader(data))
		req.Host = "llm.example"
		req.Header.Set("Attempt-Id", id)
		req.Header.Set("Content-Type", "application/json")
		resp, err := (&http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
		if err == nil {
			resp.Body.Close()
			d.rec.logf("batch job %s: answered %d", id, resp.StatusCode)
			if resp.StatusCode == 202 {
				return nil
			}
			err = fmt.Errorf("status %d", resp.StatusCode)
		}
		if time.Now().After(deadline) {
			return err
		}
		time.Sleep(200 * time.Millisecond)
	}
}

type output struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Text     string `json:"text"`
	Versions []int  `json:"weight-versions"`
}

// read reads the results of a batch job from a position on.
func (d *deployment) read(entry int, id string, after int) (outputs []output, status int, err error) {
	req, _ := http.NewRequest("GET", fmt.Sprintf("http://%s:%d/lots/%s?after=%d", d.entry[entry%len(d.entry)].ip, ingressPort, id, after), nil)
	req.Host = "llm.example"
	req.Header.Set("Wait-Ms", "300")
	resp, err := (&http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	var page struct {
		Total   int      `json:"total"`
		Next    int      `json:"next"`
		Outputs []output `json:"outputs"`
	}
	if resp.StatusCode == 200 {
		err = json.NewDecoder(resp.Body).Decode(&page)
	}
	return page.Outputs, resp.StatusCode, err
}
