package backend

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"filbertledge/internal/errs"
)

// TestPoolKeepsConnectionsAsLongAsServersState guards against connections that are closed long before the server would
// close them, so that each step of a trainer opens new ones, and against connections that are used later than that.
func TestPoolKeepsConnectionsAsLongAsServersState(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	const defaultTimeout = 4 * time.Second
	for _, tc := range []struct {
		name          string
		stated, rests time.Duration
		kept          bool
	}{
		{"stated, shorter rest", 9 * time.Second, 8 * time.Second, true},
		{"stated, longer rest", 9 * time.Second, 10 * time.Second, false},
		{"stated, less than the default", time.Second, 2 * time.Second, false},
		{"not stated, shorter rest", 0, 3 * time.Second, true},
		{"not stated, longer rest", 0, 5 * time.Second, false},
	} {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		p := connPool{idle: map[poolKey][]*conn{}, idleTimeout: defaultTimeout}
		c := newConn(nc, poolKey{addr: "a"})
		c.serverIdleTimeout = tc.stated
		p.put(c)
		c.idleSince = time.Now().Add(-tc.rests)
		if got := p.get(poolKey{addr: "a"}, "") != nil; got != tc.kept {
			t.Errorf("%s: kept %t", tc.name, got)
		}
	}
}

// Guards against more connections than allowed, against idle ones that keep a request from its own, and against idle ones that
// stay open when nothing uses them any more.
func TestConnectionsAreLimited(t *testing.T) {
	var open, most atomic.Int64
	block := make(chan struct{})
	start := func() string {
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/block" {
				<-block
			}
		}))
		s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				most.Store(max(most.Load(), open.Add(1)))
			case http.StateClosed:
				open.Add(-1)
			}
		}
		s.Start()
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	first, second := start(), start()
	c := New(Options{MaxConnections: 2, DialTimeout: 100 * time.Millisecond, IdleTimeout: 300 * time.Millisecond})
	defer c.Close()
	do := func(addr, path string) error {
		_, err := c.Do(context.Background(), Request{Address: addr, Method: "GET", Path: path})
		return err
	}
	running := make(chan error, 1)
	go func() { running <- do(first, "/block") }()
	for open.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for _, addr := range []string{first, second, first} { // an idle connection to the other one is closed each time
		if err := do(addr, "/"); err != nil {
			t.Fatal(err)
		}
	}
	go func() { running <- do(second, "/block") }()
	for open.Load() < 2 || len(c.pool.idleConns()) > 0 {
		time.Sleep(time.Millisecond)
	}
	if f := FailureOf(do(first, "/")); !f.NotSent || f.DialFailed || !errs.Is(f, errs.Unavailable) {
		t.Errorf("with all connections in use: %+v", f)
	}
	close(block)
	for range 2 {
		if err := <-running; err != nil {
			t.Error(err)
		}
	}
	for deadline := time.Now().Add(5 * time.Second); open.Load() > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d idle connections are still open", open.Load())
		}
	}
	if most.Load() > 2+1 { // the server may notice the end of a connection after the begin of the next one
		t.Errorf("%d connections at a time", most.Load())
	}
}

func (p *connPool) idleConns() (all []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		all = append(all, list...)
	}
	return all
}
