package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"filbertledge/internal/api"
)

// serveOnce answers the first request on a new listener with raw bytes and closes the connection.
func serveOnce(t *testing.T, response string) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
			_, _ = io.WriteString(nc, response)
		}
	}()
	return ln.Addr().String()
}

// Guards against taking a response for whole whose server stopped within its head or its body, at any byte.
func TestResponseCutAtEachByteFails(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	event := `data: {"filbertledge":{"attempt_id":"a","offset":0,"pieces":[{"version":1,"tokens":1,"cached":false}]},"choices":[{"text":"x"}]}` + "\n\ndata: [DONE]\n\n"
	do := func(address string) bool {
		_, err := New(Options{}).Do(ctx, Request{Address: address, Method: "GET", Path: "/", AttemptID: "a"})
		return err == nil
	}
	stream := func(address string) bool {
		s, err := New(Options{}).Stream(ctx, Request{Address: address, Method: "POST", Path: "/", AttemptID: "a"}, 0)
		if err != nil {
			return false
		}
		defer s.Close()
		for {
			if _, err := s.Next(); err == io.EOF {
				return true
			} else if err != nil {
				return false
			}
		}
	}
	for name, tc := range map[string]struct {
		send     func(string) bool
		response string
	}{
		"response": {do, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: a\r\nContent-Length: 4\r\n\r\nbody", api.HeaderAttemptID)},
		"stream":   {stream, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(event), event)},
	} {
		t.Run(name, func(t *testing.T) {
			for n := range len(tc.response) {
				if tc.send(serveOnce(t, tc.response[:n])) && n < len(tc.response)-len("\n\n") {
					t.Errorf("cut after %d of %d bytes, it counts as complete: %q", n, len(tc.response), tc.response[:n])
				}
			}
			if !tc.send(serveOnce(t, tc.response)) {
				t.Error("the whole response fails")
			}
		})
	}
}
