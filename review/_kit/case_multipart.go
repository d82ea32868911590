package main

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"net/http"
	"time"
)

// multipart: a consumer sends a form with several fields, as a browser does, with the length of its body. The server
// must get the body byte for byte. Without the disruption the same bodies are sent in chunks.
func multipart(rec *record, trouble bool) (outcome, error) {
	d, err := newDeployment(rec, 3, 3)
	if err != nil {
		return outcome{}, err
	}
	defer d.stopAll()
	service := "wuno96b"
	got := make(chan []byte, 100)
	for i := range 4 {
		s, err := d.newServer(fmt.Sprintf("i-7f3a91c%d", i), service, zones[i%3], 30+i, 6, "")
		if err != nil {
			return outcome{}, err
		}
		s.handle = func(c *serverConn, r *http.Request, body []byte) {
			id := r.Header.Get("Attempt-Id")
			rec.line("%s runs %s, %s, body of %d bytes, SHA-256 %x", s.id, id, r.Header.Get("Content-Type"), len(body), sha256.Sum256(body))
			got <- body
			text := []byte("ordered " + id)
			c.reply(r, 200, map[string]string{"Response-Signature": signature(id, text)}, text)
		}
		s.run()
		defer s.close()
	}
	m := newManifest(1, []map[string]any{{
		"name": "r-order", "hostname": hostName, "path-prefix": "/lohu930/", "route-type": "non_idempotent", "timeout-ms": 1500, "target-latency-ms": 150,
		"priority": 2, "backend": service, "max-attempts": 2,
	}}, []map[string]any{{"name": service, "health-path": "/healthz", "max-connections": 110, "protocol": "h1", "tls-enabled": false}})
	if err := d.startAll(m); err != nil {
		return outcome{}, err
	}
	time.Sleep(2500 * time.Millisecond) // until all servers have announced themselves
	const boundary = "formboundary7MA4YWxkTrZu0gW"
	sent, changed, unserved := 0, 0, 0
	for i := range 40 {
		id := fmt.Sprintf("%016x", 0x1c41d07b00000000+i)
		var body bytes.Buffer
		for _, field := range [][2]string{{"handler", "Ilona"}, {"slot", fmt.Sprintf("10:%02d", i)}, {"doves", "12"}, {"note", "for the chapel"}} {
			fmt.Fprintf(&body, "--%s\r\nContent-Disposition: form-data; name=%q\r\n\r\n%s\r\n", boundary, field[0], field[1])
		}
		fmt.Fprintf(&body, "--%s--\r\n", boundary)
		for len(got) > 0 {
			<-got
		}
		rec.line("consumer sends %s, body of %d bytes, SHA-256 %x, in chunks: %t", id, body.Len(), sha256.Sum256(body.Bytes()), !trouble)
		a := d.call(d.entries[i%3], "POST", "/lohu930/2f", map[string]string{
			"Attempt-Id": id, "Deadline-Ms": "1500", "Content-Type": "multipart/form-data; boundary=" + boundary,
		}, body.Bytes(), !trouble, 3*time.Second)
		rec.line("consumer gets for %s: %s", id, a)
		sent++
		if a.status != 200 {
			unserved++
			continue
		}
		if ran := <-got; !bytes.Equal(ran, body.Bytes()) {
			changed++
			rec.line("BROKEN: the server ran %s with another body. Sent:\n%s\nRun:\n%s", id, body.Bytes(), ran)
		}
	}
	if unserved > 0 {
		return outcome{}, fmt.Errorf("%d of %d requests were not served", unserved, sent)
	}
	return outcome{broken: changed > 0, text: fmt.Sprintf("%d forms sent, %d of them run with another body", sent, changed)}, nil
}
