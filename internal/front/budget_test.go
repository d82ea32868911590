package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/budget"
)

// Guards against memory that is not given back at one of the ends of a request.
func TestMemoryIsGivenBack(t *testing.T) {
	const bodyBytes = 128 << 10
	large := strings.Repeat("x", bodyBytes)
	manyLines := "Host: h\r\n" + strings.Repeat("a:\r\n", 200)
	withLength := func(path string, length int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, large)
	}
	chunk := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", bodyBytes, large)
	for name, c := range map[string]struct {
		request string
		status  int // 0 means that the caller closes the connection
	}{
		"answered":             {withLength("/", bodyBytes), 200},
		"many lines":           {"GET / HTTP/1.1\r\n" + manyLines + "\r\n", 200},
		"HEAD of many lines":   {"HEAD / HTTP/1.1\r\n" + manyLines + "\r\n", 200},
		"chunks":               {chunk + "0\r\n\r\n", 200},
		"panic":                {withLength("/panic", bodyBytes), 500},
		"header not finished":  {"GET / HTTP/1.1\r\n" + manyLines, 400},
		"malformed header":     {"GET / HTTP/1.1\r\n" + manyLines + "a b\r\n\r\n", 400},
		"malformed chunk":      {chunk + "z\r\n", 400},
		"body not finished":    {withLength("/", bodyBytes+1), 400},
		"caller leaves":        {withLength("/", bodyBytes+1), 0},
		"larger than allowed":  {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 999999999\r\n\r\n", 413},
		"larger than the room": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000000\r\n\r\nx", 413},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := NewBudget(3_000_000, 0)
			_, url := startServer(t, Options{Budget: b, ReadTimeout: 300 * time.Millisecond, DisableProbes: true, Handlers: []Handler{func(ctx *fasthttp.RequestCtx) bool {
				if string(ctx.Path()) == "/panic" {
					panic("test")
				}
				ctx.SetBodyString(large)
				return true
			}}})
			nc := dial(t, url)
			if _, err := io.WriteString(nc, c.request); err != nil {
				t.Fatal(err)
			}
			if c.status == 0 {
				nc.Close()
			} else {
				method, _, _ := strings.Cut(c.request, " ")
				response, err := http.ReadResponse(bufio.NewReader(nc), &http.Request{Method: method})
				if err != nil || response.StatusCode != c.status {
					t.Fatalf("got %+v, %v", response, err)
				}
				if _, err := io.Copy(io.Discard, response.Body); err != nil {
					t.Fatal(err)
				}
			}
			for deadline := time.Now().Add(5 * time.Second); b.Stats().Bytes > connectionBytes; time.Sleep(5 * time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("still held: %+v", b.Stats())
				}
			}
		})
	}
}

func dial(t *testing.T, url string) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return nc
}

// Guards against a request that runs although it was refused for want of memory, and against one that waits while a connection
// without progress holds the memory.
func TestMemoryIsTakenFromConnectionsWithoutProgress(t *testing.T) {
	const bodyBytes = 2_000_000
	b := NewBudget(3_000_000, 0)
	ran, block := make(chan struct{}, 8), make(chan struct{})
	_, url := startServer(t, Options{Budget: b, DisableProbes: true, Handlers: []Handler{func(*fasthttp.RequestCtx) bool {
		ran <- struct{}{}
		<-block
		return true
	}}})
	if _, err := fmt.Fprintf(dial(t, url), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\nx", bodyBytes); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(5 * time.Second); b.Stats().Bytes < bodyBytes; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("nothing reserved: %+v", b.Stats())
		}
	}
	post := func() (int, string, error) {
		r, err := http.Post(url, "text/plain", strings.NewReader(strings.Repeat("x", bodyBytes)))
		if err != nil {
			return 0, "", err
		}
		defer r.Body.Close()
		return r.StatusCode, r.Header.Get("Retry-After"), nil
	}
	first := make(chan error, 1)
	go func() {
		status, _, err := post()
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d", status)
		}
		first <- err
	}()
	select {
	case <-ran: // the connection without progress was dropped
	case err := <-first:
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(dial(t, url), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\nx", bodyBytes); err != nil {
		t.Fatal(err)
	}
	refused := dial(t, url)
	if _, err := fmt.Fprintf(refused, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\nx", bodyBytes); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(refused), nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("beside a request that runs: got %+v, %v", response, err)
	}
	close(block)
	if err := <-first; err != nil {
		t.Error(err)
	}
	if len(ran) != 0 {
		t.Error("a refused request ran")
	}
}

// Guards against a chunked body of the largest legal size that does not fit while its buffer grows.
func TestLargestChunkedBodyFits(t *testing.T) {
	const (
		maxBodyBytes = 32 << 20
		budgetBytes  = 134 << 20 * 35 / 100 // callerMemoryFraction of the smallest memory limit on the platform
	)
	_, url := startServer(t, Options{Budget: NewBudget(budgetBytes, 0), MaxBodyBytes: maxBodyBytes, DisableProbes: true, Handlers: []Handler{func(ctx *fasthttp.RequestCtx) bool {
		fmt.Fprint(ctx, len(ctx.Request.Body()))
		return true
	}}})
	r, err := http.Post(url, "text/plain", io.MultiReader(strings.NewReader(strings.Repeat("x", maxBodyBytes)))) // of unknown length
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	if got, err := io.ReadAll(r.Body); err != nil || r.StatusCode != http.StatusOK || string(got) != fmt.Sprint(maxBodyBytes) {
		t.Errorf("status %d, %s, %v", r.StatusCode, got, err)
	}
}

// Guards against a caller that keeps a connection open with a header that never ends.
func TestSlowHeaderIsCutOff(t *testing.T) {
	_, url := startServer(t, Options{HeaderTimeout: 200 * time.Millisecond, DisableProbes: true})
	nc := dial(t, url)
	go func() {
		for range 2000 {
			if _, err := nc.Write([]byte("a")); err != nil {
				return // cut off
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	if err := nc.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(nc); err != nil && strings.Contains(err.Error(), "timeout") {
		t.Errorf("the connection is still open: %v", err)
	}
}

// Guards against answers that callers do not read and that hold the memory of others.
func TestUnreadAnswerIsDroppedForAnother(t *testing.T) {
	const answerBytes = 24 << 20 // more than the buffers of both kernels take
	b := NewBudget(2*answerBytes-1, 0)
	_, url := startServer(t, Options{Budget: b, DisableProbes: true, Handlers: []Handler{func(ctx *fasthttp.RequestCtx) bool {
		ctx.Response.SetBodyRaw(make([]byte, answerBytes))
		return true
	}}})
	if _, err := io.WriteString(dial(t, url), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(5 * time.Second); b.Stats().Bytes < answerBytes; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("nothing reserved: %+v", b.Stats())
		}
	}
	r, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	if n, err := io.Copy(io.Discard, r.Body); err != nil || n != answerBytes {
		t.Errorf("got %d bytes, %v", n, err)
	}
	if b.Stats().Dropped[budget.Memory] != 1 {
		t.Errorf("got %+v", b.Stats())
	}
}
