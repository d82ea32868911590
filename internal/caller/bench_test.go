package caller

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"filbertledge/internal/api"
)

// BenchmarkStream measures a streamed answer of 100 tokens through a VM, including the time of engine and client.
func BenchmarkStream(b *testing.B) {
	benchmarkRequests(b, `{"model":"chat","stream":true,"messages":[]}`, eventStreamEnd)
}

// BenchmarkUnary measures an answer that is not streamed through a VM, including the time of engine and client.
func BenchmarkUnary(b *testing.B) {
	benchmarkRequests(b, `{"model":"chat","messages":[]}`, []byte("}"))
}

func benchmarkRequests(b *testing.B, body string, end []byte) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveFastEngine(c)
		}
	}()
	v := newVM(b, newFakeControl(chatRow))
	v.joinServer(b, "e1", ln.Addr().String(), "llm", true)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		conn, err := net.Dial("tcp", strings.TrimPrefix(v.url, "http://"))
		if err != nil {
			b.Error(err)
			return
		}
		defer conn.Close()
		br := bufio.NewReaderSize(conn, 64<<10)
		for pb.Next() {
			fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testToken, len(body), body)
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				b.Error(err)
				return
			}
			data, err := io.ReadAll(resp.Body)
			if err != nil || !bytes.HasSuffix(data, end) {
				b.Errorf("answer %q, %v", data, err)
				return
			}
		}
	})
}

// serveFastEngine answers each request at once, a streamed one with 100 tokens that are written one by one.
func serveFastEngine(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		id := req.Header.Get(api.HeaderAttemptID)
		if !bytes.Contains(body, []byte(`"stream":true`)) {
			answer := fmt.Sprintf(`{"id":"c","choices":[{"message":{"content":"hello"}}],"filbertledge":{"attempt_id":"%s","offset":0,"pieces":[{"version":7,"tokens":9,"cached":false}]}}`, id)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
			continue
		}
		chunk := func(data string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(data), data) }
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := range 100 {
			chunk(fmt.Sprintf(`data: {"id":"c","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"content":"w%d "},"finish_reason":null}],"filbertledge":{"attempt_id":"%s","offset":%d,"pieces":[{"version":7,"tokens":1,"cached":false}]}}`+"\n\n", i, id, i))
		}
		chunk(fmt.Sprintf(`data: {"id":"c","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{},"filbertledge":{"attempt_id":"%s","offset":100,"pieces":[]}}`+"\n\n", id))
		chunk("data: [DONE]\n\n")
		fmt.Fprint(c, "0\r\n\r\n")
	}
}
