package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

func init() { cases["mixed"] = runMixed }

// runMixed: a faulty model server sends additional bytes after a few of its complete answers. They read like an answer that names no
// request.
func runMixed(e *env) (result, error) {
	d, err := newDeployment(e.rec, e.binary, 1)
	if d != nil {
		defer d.stop(os.Getenv("KEEP") != "")
	}
	if err != nil {
		return result{}, err
	}
	const slots = 8
	g := newEngines(e.rec, 4, 50*time.Millisecond)
	var extra sync.Map
	faulty := &dose{every: 34, last: 5500 * time.Millisecond}
	serve := func(s *server, nc net.Conn, r *request) error {
		if pending, ok := extra.LoadAndDelete(nc); ok {
			e.rec.logf("%s sends additional bytes, late, when %s has arrived: %q", s.id, r.Header.Get("Attempt-Id"), pending)
			if _, err := io.WriteString(nc, pending.(string)); err != nil {
				return err
			}
		}
		if err := g.serve(s, nc, r); err != nil {
			return err
		}
		if e.trouble && s.id == "i-llm0" && faulty.hit() {
			text := "HTTP/1.1 422 Unprocessable Entity\r\nContent-Length: 0\r\n\r\n"
			if faulty.hits%2 == 0 {
				stray := "id: 1\ndata: stray\n\n"
				text = fmt.Sprintf("HTTP/1.1 200 OK\r\nResponse-Signature: sig.stray\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(stray), stray)
			}
			extra.Store(nc, text)
		}
		return nil
	}
	for i := range 3 {
		s, err := startServer(d, fmt.Sprintf("i-llm%d", i), "llm", zones[i], slots, "m0", serve)
		if err != nil {
			return result{}, err
		}
		defer s.stop()
	}
	status, body, err := d.control("POST", "/config/replace", manifest(3, []map[string]any{llmService(slots)}, rolloutRoute()), 20*time.Second)
	if err != nil || status != 200 {
		return result{}, fmt.Errorf("manifest: %d %s %v", status, body, err)
	}
	if err := d.waitReady(10 * time.Second); err != nil {
		return result{}, err
	}
	time.Sleep(3 * time.Second)
	faulty.begin()
	terminated, foreign, listed, total := 0, 0, 0, 0
	for b := range 2 {
		id := fmt.Sprintf("b%d", b)
		doc, ids := batchDoc(id, 256, 0)
		total += len(ids)
		if err := d.submit(id, doc, 3*time.Second); err != nil {
			return result{}, err
		}
		position := 0
		for end := time.Now().Add(12 * time.Second); position < len(ids) && time.Now().Before(end); {
			outputs, _, err := d.read(0, id, position)
			if err != nil {
				continue
			}
			position += len(outputs)
			for _, o := range outputs {
				listed++
				switch {
				case o.State == "terminated":
					terminated++
					e.rec.logf("result of %s: terminated, though no server answered it with 422 or 500", o.ID)
				case o.Text != g.wholeText(o.ID):
					foreign++
					e.rec.logf("result of %s: completed with the text %q, its whole output is %q", o.ID, o.Text, g.wholeText(o.ID))
				}
			}
		}
	}
	if listed < total {
		return result{}, fmt.Errorf("only %d of %d items were listed", listed, total)
	}
	return result{broken: terminated+foreign > 0, detail: fmt.Sprintf("of %d results, %d were terminated without a failure of a server and %d had a text that isn't the item's; %d answers were followed by additional bytes", listed, terminated, foreign, faulty.hits)}, nil
}
