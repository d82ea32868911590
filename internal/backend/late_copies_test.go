package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"filbertledge/internal/api"
)

// Guards against a late response that is taken for the response to the same attempt sent again: the attempt must not be
// sent on a connection that has carried it, and other attempts must still reuse the connection.
func TestConnectionIsNotReusedForTheSameAttempt(t *testing.T) {
	var pool connPool
	pool.idle = map[poolKey][]*conn{}
	key := poolKey{addr: "a", named: true}
	first, second := &conn{key: key}, &conn{key: key}
	for i := range 3 * maxCarriedAttempts {
		first.carry(fmt.Sprintf("a%d", i))
	}
	second.carry("b")
	pool.put(first)
	pool.put(second)
	newest := fmt.Sprintf("a%d", 3*maxCarriedAttempts-1)
	if got := pool.pop(poolKey{addr: "a"}, ""); got != nil {
		t.Error("a request without an attempt ID got a connection of requests that have one")
	}
	if got := pool.pop(key, "b"); got != first {
		t.Error("an attempt did not get the connection that has not carried it")
	}
	if got := pool.pop(key, "b"); got != nil {
		t.Error("an attempt got the connection that has carried it")
	}
	if got := pool.pop(key, newest); got != second {
		t.Error("another attempt did not reuse the connection")
	}
	pool.put(first)
	oldestKept := fmt.Sprintf("a%d", 2*maxCarriedAttempts)
	for _, attempt := range []string{newest, oldestKept} {
		if got := pool.pop(key, attempt); got != nil {
			t.Errorf("attempt %s got the connection that has carried it", attempt)
		}
	}
	if len(first.carried) != maxCarriedAttempts {
		t.Errorf("the connection remembers %d attempts, want %d", len(first.carried), maxCarriedAttempts)
	}
}

// Guards against the error of an engine that reaches another caller's request: engines do not repeat the attempt ID in
// errors, so a late copy of one cannot be told from the response to the next request on the connection.
func TestLateErrorOfEngineAnswersNoOtherRequest(t *testing.T) {
	const refusal = "HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\n{}"
	for name, send := range map[string]func(*Client, Request) error{
		"complete answer": func(c *Client, r Request) error {
			response, err := c.Do(context.Background(), r)
			if err == nil && response.Status != 200 {
				err = fmt.Errorf("status %d", response.Status)
			}
			return err
		},
		"stream": func(c *Client, r Request) error {
			s, err := c.Stream(context.Background(), r, 0)
			if err == nil {
				s.Close()
			}
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			addr := startRawServer(t, func(c net.Conn) {
				earlier := ""
				for br := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					body := fmt.Sprintf(`{"filbertledge":{"attempt_id":%q}}`, r.Header.Get(api.HeaderAttemptID))
					response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
					if r.Header.Get(api.HeaderAttemptID) == "refused" {
						response = refusal
					}
					_, _ = io.WriteString(c, earlier+response)
					earlier = response
				}
			})
			client := New(Options{})
			defer client.Close()
			request := Request{Address: addr, Method: "POST", Path: "/", AttemptID: "refused", AttemptIDInBody: true}
			if err := send(client, request); err == nil {
				t.Fatal("the first request was not refused")
			}
			request.AttemptID = "served"
			if err := send(client, request); err != nil {
				t.Fatalf("the second request was served and got %v", err)
			}
		})
	}
}
