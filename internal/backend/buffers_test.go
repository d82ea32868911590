package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"
	"time"

	"filbertledge/internal/api"
)

// serveBytes answers each request with head, and then with part again and again, with pauses, until the client closes the
// connection. After hold bytes it sends nothing more, but keeps the connection.
func serveBytes(t *testing.T, head, part string, hold int, pause time.Duration) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				br := bufio.NewReader(nc)
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				_, err := io.WriteString(nc, head)
				for sent := 0; err == nil && (hold == 0 || sent < hold); sent += len(part) {
					_, err = io.WriteString(nc, part)
					time.Sleep(pause)
				}
				_, _ = io.Copy(io.Discard, br) // until the client closes the connection
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against a faulty server whose bodies without end, or bodies that it sends in part and holds, take the room of the answers of
// sound servers.
func TestEndlessBodiesLeaveRoomForOthers(t *testing.T) {
	const limit, answerBytes, faulty, requests = 4 << 20, 300 << 10, 12, 60
	part := strings.Repeat("x", 16<<10)
	sound := serveBytes(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", answerBytes), strings.Repeat("y", answerBytes), answerBytes, 0)
	for name, tc := range map[string]struct {
		head string
		hold int
	}{
		"without end":         {"HTTP/1.1 200 OK\r\n\r\n", 0},
		"held before its end": {"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n", 2 << 20},
		"chunk without end":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
			defer cancel()
			c := New(Options{MaxBufferedBytes: limit, AcceptCloseDelimitedBody: true})
			defer c.Close()
			read := func(ctx context.Context, address string) (int, error) {
				ex, err := c.Open(ctx, RawRequest{Address: address, Method: "GET", URI: "/", Host: "h", NewConnection: true})
				if err != nil {
					return 0, err
				}
				defer ex.Release(false, 0)
				body, err := ex.ReadAll(32 << 20)
				return len(body), err
			}
			address := serveBytes(t, tc.head, part, tc.hold, 0)
			faultyCtx, stop := context.WithCancel(ctx)
			var wg sync.WaitGroup
			for range faulty {
				wg.Go(func() {
					for faultyCtx.Err() == nil {
						if n, err := read(faultyCtx, address); err == nil {
							t.Errorf("a body without end counts as complete after %d bytes", n)
						}
					}
				})
			}
			time.Sleep(100 * time.Millisecond)
			failed := 0
			var lastErr error
			for range requests {
				if n, err := read(ctx, sound); err != nil || n != answerBytes {
					failed, lastErr = failed+1, err
				}
			}
			stop()
			wg.Wait()
			if failed > 0 {
				t.Errorf("%d of %d sound answers failed, the last: %v", failed, requests, lastErr)
			}
			if n := c.buffers.total; n != 0 {
				t.Errorf("%d bytes are still counted", n)
			}
		})
	}
}

// liveBytes returns the size of the objects that the garbage collector finds in use. runtime.MemStats counts what has become
// garbage since, too.
func liveBytes() uint64 {
	runtime.GC()
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// Guards against events and responses without end that take more memory than the limit, whichever call reads them.
func TestEndlessBytesStayWithinLimit(t *testing.T) {
	const limit, callers, slack = 8 << 20, 48, 8 << 20
	const pause = 10 * time.Millisecond // so that little is allocated while the garbage collector runs
	part := strings.Repeat("x", 16<<10)
	address := serveBytes(t, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: a\r\n\r\ndata: ", api.HeaderAttemptID), part, 0, pause)
	for name, call := range map[string]func(ctx context.Context, c *Client) error{
		"stream": func(ctx context.Context, c *Client) error {
			s, err := c.Stream(ctx, Request{Address: address, Method: "POST", Path: "/", AttemptID: "a", NewConnection: true}, 0)
			if err != nil {
				return err
			}
			defer s.Close()
			_, err = s.Next()
			return err
		},
		"response": func(ctx context.Context, c *Client) error {
			_, err := c.Do(ctx, Request{Address: address, Method: "GET", Path: "/", AttemptID: "a", NewConnection: true})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			c := New(Options{MaxBufferedBytes: limit, AcceptCloseDelimitedBody: true})
			defer c.Close()
			before := liveBytes()
			done := make(chan struct{})
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() {
					for range 3 {
						if err := call(ctx, c); err == nil || errors.Is(err, io.EOF) {
							t.Error("bytes without end count as complete")
						}
					}
				})
			}
			go func() { wg.Wait(); close(done) }()
			highest := uint64(0)
			for running := true; running; {
				select {
				case <-done:
					running = false
				case <-time.After(5 * time.Millisecond):
				}
				highest = max(highest, liveBytes())
			}
			if grown := int64(highest) - int64(before); grown > limit+slack {
				t.Errorf("%d calls take %d bytes, allowed are %d", callers, grown, limit+slack)
			}
		})
	}
}
