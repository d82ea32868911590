package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filbertledge/internal/errs"
	"filbertledge/internal/pki"
)

var loopback = []net.IP{net.IPv4(127, 0, 0, 1)}

// deployment is a CA from which a test creates servers and clients on loopback.
type deployment struct {
	t   *testing.T
	dir string
	ca  *pki.Authority
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	dir := t.TempDir()
	ca, err := pki.Init(dir, "test")
	if err != nil {
		t.Fatal(err)
	}
	return &deployment{t: t, dir: dir, ca: ca}
}

func (d *deployment) source(name string, role pki.Role, options pki.TLSSourceOptions) *pki.TLSSource {
	d.t.Helper()
	files, err := d.ca.Issue(pki.Request{Name: name, Role: role, IPs: loopback})
	if err != nil {
		d.t.Fatal(err)
	}
	s, err := pki.NewTLSSource(files, options)
	if err != nil {
		d.t.Fatal(err)
	}
	return s
}

func (d *deployment) server(o ServerOptions, setup func(*Server)) (addr string, stop func()) {
	d.t.Helper()
	if o.Identity == nil {
		o.Identity = d.source("a-1", pki.RoleVM, pki.TLSSourceOptions{})
	}
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	s, err := NewServer(o)
	if err != nil {
		d.t.Fatal(err)
	}
	setup(s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			d.t.Error(err)
		}
	})
	d.t.Cleanup(stop)
	return s.Addr(), stop
}

func (d *deployment) client(source *pki.TLSSource, o ClientOptions) *Client {
	d.t.Helper()
	o.Identity = source
	if o.DialTimeout == 0 {
		// Long timeouts keep the test result independent of the load of the machine.
		o.DialTimeout, o.PeerTimeout = 20*time.Second, 20*time.Second
	}
	c, err := NewClient(o)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { c.Close() })
	return c
}

func echo(_ context.Context, _ Peer, request []byte) ([]byte, error) { return request, nil }

func withEcho(s *Server) { s.Handle("test.echo", pki.RoleAny, echo) }

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func wantKind(t *testing.T, err error, want errs.Kind) {
	t.Helper()
	if !errs.Is(err, want) {
		t.Fatalf("error %v has kind %v, want %s", err, errs.KindOf(err), want)
	}
}

// Guards against responses that are returned to the wrong call when many calls share one connection.
func TestConcurrentCallsGetTheirOwnAnswers(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	addr, _ := d.server(ServerOptions{}, withEcho)
	c := d.client(d.source("a-2", pki.RoleVM, pki.TLSSourceOptions{}), ClientOptions{})
	ctx := contextWithTimeout(t, 30*time.Second)
	var wrong atomic.Int64
	var group sync.WaitGroup
	for i := range 1000 {
		group.Go(func() {
			want := fmt.Appendf(nil, "call %d", i)
			got, err := c.Call(ctx, addr, "test.echo", want)
			if err != nil || !bytes.Equal(got, want) {
				wrong.Add(1)
			}
		})
	}
	group.Wait()
	if n := wrong.Load(); n != 0 {
		t.Fatalf("%d of 1000 calls failed", n)
	}
	if n := len(c.peers); n != 1 {
		t.Fatalf("%d peer connections for one address, want 1", n)
	}
}

// Guards against serving a process whose certificate was issued by the CA of another deployment.
func TestCertificateOfAnotherDeploymentIsRefused(t *testing.T) {
	t.Parallel()
	d, other := newDeployment(t), newDeployment(t)
	var refused atomic.Int64
	identity := d.source("a-1", pki.RoleVM, pki.TLSSourceOptions{OnRefused: func(string, error) { refused.Add(1) }})
	var ran atomic.Int64
	addr, _ := d.server(ServerOptions{Identity: identity}, func(s *Server) {
		s.Handle("test.echo", pki.RoleAny, func(context.Context, Peer, []byte) ([]byte, error) {
			ran.Add(1)
			return nil, nil
		})
	})
	foreign := other.source("a-2", pki.RoleVM, pki.TLSSourceOptions{})
	_, err := d.client(foreign, ClientOptions{}).Call(contextWithTimeout(t, 5*time.Second), addr, "test.echo", nil)
	wantKind(t, err, errs.Unauthenticated)

	// Here only the server can refuse, because the client trusts the deployment's CA.
	bad := pki.LeafFiles(other.dir, "a-2")
	bad.CA = pki.LeafFiles(d.dir, "a-1").CA
	source, err := pki.NewTLSSource(bad, pki.TLSSourceOptions{})
	if err != nil {
		t.Fatal(err)
	}
	_, err = d.client(source, ClientOptions{}).Call(contextWithTimeout(t, 5*time.Second), addr, "test.echo", nil)
	wantKind(t, err, errs.Unauthenticated)
	if refused.Load() == 0 {
		t.Fatal("the server did not report the refused certificate")
	}
	if ran.Load() != 0 {
		t.Fatal("a handler ran for a refused certificate")
	}
}

// Guards against an operator that can call the methods for VMs and the reverse, and against a client that accepts a
// server with an operator's certificate.
func TestMethodIsDeniedToWrongRole(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	var refused atomic.Int64
	options := ServerOptions{OnPermissionDenied: func(Peer, string) { refused.Add(1) }}
	addr, _ := d.server(options, func(s *Server) {
		withEcho(s)
		s.Handle("test.vm", pki.RoleVM, echo)
		s.Handle("test.operator", pki.RoleOperator, echo)
	})
	operator := d.client(d.source("op", pki.RoleOperator, pki.TLSSourceOptions{}), ClientOptions{})
	vm := d.client(d.source("a-2", pki.RoleVM, pki.TLSSourceOptions{}), ClientOptions{})
	cases := []struct {
		client *Client
		method string
		denied bool
	}{
		{operator, "test.echo", false},
		{operator, "test.vm", true},
		{operator, "test.operator", false},
		{vm, "test.vm", false},
		{vm, "test.operator", true},
	}
	for _, c := range cases {
		_, err := c.client.Call(contextWithTimeout(t, 5*time.Second), addr, c.method, nil)
		if c.denied {
			wantKind(t, err, errs.PermissionDenied)
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if refused.Load() != 2 {
		t.Fatalf("%d refusals were reported, want 2", refused.Load())
	}
	operatorServer, _ := d.server(ServerOptions{Identity: d.source("op-2", pki.RoleOperator, pki.TLSSourceOptions{})}, withEcho)
	_, err := vm.Call(contextWithTimeout(t, 5*time.Second), operatorServer, "test.echo", nil)
	wantKind(t, err, errs.Unauthenticated)
}

// Guards against a certificate rotation that takes effect only after a restart: once the old root is removed, calls
// succeed only if client and server have loaded the new files.
func TestRotationWithoutRestart(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	addr, _ := d.server(ServerOptions{}, withEcho)
	source := d.source("a-2", pki.RoleVM, pki.TLSSourceOptions{})
	ctx := contextWithTimeout(t, 20*time.Second)
	first := d.client(source, ClientOptions{})
	if _, err := first.Call(ctx, addr, "test.echo", nil); err != nil {
		t.Fatal(err)
	}
	if err := d.ca.RotateCA("test"); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"a-1", "a-2"} {
		if _, err := d.ca.Rotate(name, 0); err != nil {
			t.Fatal(err)
		}
		if _, err := d.client(source, ClientOptions{}).Call(ctx, addr, "test.echo", nil); err != nil {
			t.Fatalf("after the rotation of %s: %v", name, err)
		}
	}
	if err := d.ca.DropOldCAs(); err != nil {
		t.Fatal(err)
	}
	if _, err := d.client(source, ClientOptions{}).Call(ctx, addr, "test.echo", nil); err != nil {
		t.Fatalf("after the old root was dropped: %v", err)
	}
	if _, err := first.Call(ctx, addr, "test.echo", nil); err != nil {
		t.Fatalf("on the client from before the rotation: %v", err)
	}
}

// Guards against a peer that can still call methods over an open connection after its CA was removed or its certificate
// has expired. The handshake checked the certificate only once.
func TestRemovedOrExpiredCertificateIsRefusedOnOpenConnection(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	identity := d.source("a-1", pki.RoleVM, pki.TLSSourceOptions{})
	addr, _ := d.server(ServerOptions{Identity: identity}, withEcho)
	files, err := d.ca.Issue(pki.Request{Name: "op", Role: pki.RoleOperator})
	if err != nil {
		t.Fatal(err)
	}
	// The client uses copies of the files, so that it keeps the old certificate.
	old := pki.Files{CA: filepath.Join(t.TempDir(), "ca.pem"), Cert: filepath.Join(t.TempDir(), "op.pem"), Key: files.Key}
	for from, to := range map[string]string{files.CA: old.CA, files.Cert: old.Cert} {
		data, err := os.ReadFile(from)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(to, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	source, err := pki.NewTLSSource(old, pki.TLSSourceOptions{})
	if err != nil {
		t.Fatal(err)
	}
	c := d.client(source, ClientOptions{})
	ctx := contextWithTimeout(t, 20*time.Second)
	if _, err := c.Call(ctx, addr, "test.echo", nil); err != nil {
		t.Fatal(err)
	}
	if err := d.ca.RotateCA("test"); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"a-1", "op"} {
		if _, err := d.ca.Rotate(name, 0); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.ca.DropOldCAs(); err != nil {
		t.Fatal(err)
	}
	identity.Identity() // loads the changed files
	_, err = c.Call(ctx, addr, "test.echo", nil)
	wantKind(t, err, errs.Unauthenticated)

	shortLived, err := d.ca.Issue(pki.Request{Name: "brief", Role: pki.RoleOperator, Lifetime: 3 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if source, err = pki.NewTLSSource(shortLived, pki.TLSSourceOptions{}); err != nil {
		t.Fatal(err)
	}
	c = d.client(source, ClientOptions{})
	if _, err := c.Call(ctx, addr, "test.echo", nil); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(source.Identity().NotAfter) + 50*time.Millisecond)
	_, err = c.Call(ctx, addr, "test.echo", nil)
	wantKind(t, err, errs.Unauthenticated)
}

// Guards against messages that take unbounded memory, also if the peer ignores the size limit.
func TestOversizedMessagesAreRefused(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	addr, _ := d.server(ServerOptions{}, func(s *Server) {
		withEcho(s)
		s.Handle("test.large", pki.RoleAny, func(context.Context, Peer, []byte) ([]byte, error) {
			return make([]byte, MaxMessage+1), nil
		})
	})
	c := d.client(d.source("a-2", pki.RoleVM, pki.TLSSourceOptions{}), ClientOptions{})
	ctx := contextWithTimeout(t, 20*time.Second)
	_, err := c.Call(ctx, addr, "test.echo", make([]byte, MaxMessage+1))
	wantKind(t, err, errs.PayloadTooLarge)
	_, err = c.Call(ctx, addr, "test.large", nil)
	wantKind(t, err, errs.PayloadTooLarge)
	got, err := c.Call(ctx, addr, "test.echo", make([]byte, MaxMessage))
	if err != nil || len(got) != MaxMessage {
		t.Fatalf("message at the limit: %d bytes, %v", len(got), err)
	}
	// A client that ignores the limit is refused by the server.
	conn, err := c.peer(addr).connect(ctx)
	if err != nil {
		t.Fatal(err)
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		t.Fatal(err)
	}
	go stream.Write(make([]byte, 2*maxEnvelope))
	_, err = c.readResponse(ctx, stream, addr, "test.echo")
	wantKind(t, err, errs.PayloadTooLarge)
}

// Guards against a call that is reported as not run although its handler may have run, and the reverse. The network
// fails while the handler runs, then before the next request is sent.
func TestPeerLostDuringCall(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	packets, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cut := &lossyConn{PacketConn: packets}
	started := make(chan struct{})
	addr, _ := d.server(ServerOptions{Conn: cut, ShutdownGrace: time.Millisecond}, func(s *Server) {
		s.Handle("test.block", pki.RoleAny, func(ctx context.Context, _ Peer, _ []byte) ([]byte, error) {
			close(started)
			<-ctx.Done()
			return nil, ctx.Err()
		})
	})
	counters := NewCounters()
	c := d.client(d.source("a-2", pki.RoleVM, pki.TLSSourceOptions{}), ClientOptions{DialTimeout: 20 * time.Second, Counters: counters})
	result := make(chan error, 1)
	go func() {
		_, err := c.Call(context.Background(), addr, "test.block", nil)
		result <- err
	}()
	<-started
	cut.dropAll.Store(true)
	begin := time.Now()
	err = <-result
	wantKind(t, err, errs.OutcomeUnknown)
	if took := time.Since(begin); took > keepaliveInterval+DefaultPeerTimeout+2*time.Second {
		t.Fatalf("the lost peer was detected after %s", took)
	}
	if n := counters.Snapshot()[ClassWireVM].PeerTimeouts; n != 1 {
		t.Fatalf("%d connections were closed because the peer did not answer, want 1", n)
	}
	_, err = c.Call(contextWithTimeout(t, 2*time.Second), addr, "test.block", nil)
	wantKind(t, err, errs.Unavailable)
}

// lossyConn drops all packets in both directions once dropAll is set.
type lossyConn struct {
	net.PacketConn
	dropAll atomic.Bool
}

func (c *lossyConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		n, addr, err := c.PacketConn.ReadFrom(b)
		if err != nil || !c.dropAll.Load() {
			return n, addr, err
		}
	}
}

func (c *lossyConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	if c.dropAll.Load() {
		return len(b), nil
	}
	return c.PacketConn.WriteTo(b, addr)
}

// Guards against a request that is aborted, or registered only after shutdown has stopped waiting, when calls arrive
// while the server stops. Also guards against one that is reported as not run although its handler ran.
func TestStopWhileCallsArrive(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	var ran atomic.Int64
	addr, stop := d.server(ServerOptions{}, func(s *Server) {
		s.Handle("test.count", pki.RoleAny, func(context.Context, Peer, []byte) ([]byte, error) {
			time.Sleep(20 * time.Millisecond)
			ran.Add(1)
			return nil, nil
		})
	})
	c := d.client(d.source("a-2", pki.RoleVM, pki.TLSSourceOptions{}), ClientOptions{})
	var answered, unknown atomic.Int64
	var group sync.WaitGroup
	time.AfterFunc(100*time.Millisecond, stop)
	for range 50 {
		group.Go(func() {
			for {
				_, err := c.Call(contextWithTimeout(t, 10*time.Second), addr, "test.count", nil)
				switch {
				case err == nil:
					answered.Add(1)
				case errs.Is(err, errs.OutcomeUnknown):
					unknown.Add(1)
					return
				case errs.Is(err, errs.Unavailable):
					return
				default:
					t.Error(err)
					return
				}
			}
		})
	}
	group.Wait()
	stop()
	if n := ran.Load(); n < answered.Load() || n > answered.Load()+unknown.Load() {
		t.Fatalf("%d handlers ran, %d calls were answered and %d have an unknown outcome", n, answered.Load(), unknown.Load())
	}
}

// Guards against a killed and restarted VM that stays unreachable until its old connections reach the idle timeout. The
// killed process cannot close them, so the new process has to reset them.
func TestRestartedPeerIsReachedBeforeIdleTimeout(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	packets, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	killed := &lossyConn{PacketConn: packets}
	identity := d.source("a-1", pki.RoleVM, pki.TLSSourceOptions{})
	addr, stop := d.server(ServerOptions{Identity: identity, Conn: killed}, withEcho)
	c := d.client(d.source("a-2", pki.RoleVM, pki.TLSSourceOptions{}), ClientOptions{})
	ctx := contextWithTimeout(t, 30*time.Second)
	if _, err := c.Call(ctx, addr, "test.echo", nil); err != nil {
		t.Fatal(err)
	}
	killed.dropAll.Store(true)
	stop()
	d.server(ServerOptions{Identity: identity, Address: addr}, withEcho)
	begin := time.Now()
	// The first call fails, unless the client has received the connection reset before it.
	for {
		_, err = c.Call(ctx, addr, "test.echo", nil)
		if err == nil {
			break
		}
		if !errs.Is(err, errs.Unavailable) && !errs.Is(err, errs.OutcomeUnknown) {
			t.Fatal(err)
		}
	}
	if took := time.Since(begin); took >= idleTimeout-idleMargin {
		t.Fatalf("the restarted server was reached after %s", took)
	}
}

// Guards against long calls that fail at the idle timeout because nothing is sent while the handler runs.
func TestLongCallIsKeptAlive(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	addr, _ := d.server(ServerOptions{}, func(s *Server) {
		s.Handle("test.slow", pki.RoleAny, func(context.Context, Peer, []byte) ([]byte, error) {
			time.Sleep(idleTimeout + time.Second)
			return []byte("done"), nil
		})
	})
	c := d.client(d.source("a-2", pki.RoleVM, pki.TLSSourceOptions{}), ClientOptions{})
	if _, err := c.Call(contextWithTimeout(t, 20*time.Second), addr, "test.slow", nil); err != nil {
		t.Fatal(err)
	}
}

// Guards against a deadline, a cancellation or an error kind that is lost between two VMs.
func TestDeadlineAndErrorReachTheOtherSide(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	left := make(chan time.Duration, 1)
	started, canceled := make(chan struct{}), make(chan struct{})
	addr, _ := d.server(ServerOptions{}, func(s *Server) {
		s.Handle("test.fail", pki.RoleAny, func(ctx context.Context, _ Peer, _ []byte) ([]byte, error) {
			deadline, _ := ctx.Deadline()
			left <- time.Until(deadline)
			return nil, errs.Wrap(os.ErrNotExist, errs.Conflict, "read the row again", "row %q changed", "chat")
		})
		s.Handle("test.wait", pki.RoleAny, func(ctx context.Context, _ Peer, _ []byte) ([]byte, error) {
			close(started)
			<-ctx.Done()
			close(canceled)
			return nil, ctx.Err()
		})
	})
	c := d.client(d.source("a-2", pki.RoleVM, pki.TLSSourceOptions{}), ClientOptions{})
	_, err := c.Call(contextWithTimeout(t, 10*time.Second), addr, "test.fail", nil)
	wantKind(t, err, errs.Conflict)
	var typed *errs.Error
	if !errors.As(err, &typed) || typed.Message != `row "chat" changed: file does not exist` || typed.Remedy != "read the row again" {
		t.Fatalf("message or remedy was lost: %+v", typed)
	}
	if got := <-left; got <= 0 || got > 10*time.Second {
		t.Fatalf("handler had %s left", got)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	_, err = c.Call(ctx, addr, "test.wait", nil)
	wantKind(t, err, errs.OutcomeUnknown)
	if !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v hides the cancellation", err)
	}
	select {
	case <-canceled:
	case <-time.After(5 * time.Second):
		t.Fatal("the cancellation did not reach the handler")
	}
}

// Guards against one-way messages that are lost because they do not fit into a datagram, and against a sender that
// blocks when the peer does not answer.
func TestOneWayMessagesOfAnySizeArriveWithoutBlocking(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	got := make(chan int, 8)
	addr, _ := d.server(ServerOptions{}, func(s *Server) {
		s.Handle("test.note", pki.RoleVM, func(_ context.Context, _ Peer, message []byte) ([]byte, error) {
			got <- len(message)
			return nil, nil
		})
	})
	counters := NewCounters()
	c := d.client(d.source("a-2", pki.RoleVM, pki.TLSSourceOptions{}), ClientOptions{Counters: counters})
	for _, size := range []int{10, 100_000} {
		c.Send(addr, "test.note", make([]byte, size))
		select {
		case n := <-got:
			if n != size {
				t.Fatalf("got %d bytes, want %d", n, size)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("message of %d bytes did not arrive", size)
		}
	}
	begin := time.Now()
	for range 10 * sendQueueLength {
		c.Send("127.0.0.1:1", "test.note", nil)
	}
	if took := time.Since(begin); took > 5*time.Second {
		t.Fatalf("sending to an absent peer took %s", took)
	}
	snapshot := counters.Snapshot()
	if snapshot["test"].Dropped == 0 || snapshot["test"].MessagesOut != 2 {
		t.Fatalf("class test counts %+v", snapshot["test"])
	}
	if wire := snapshot[ClassWireVM]; wire.BytesOut < 100_000 || wire.BytesIn == 0 {
		t.Fatalf("class %s counts %+v", ClassWireVM, wire)
	}
}

// Guards against a message that the other VM cannot read because a header of a caller holds bytes that are no UTF-8 text.
func TestMessagesKeepTextThatIsNotUTF8(t *testing.T) {
	type header struct {
		Name, Value string
	}
	sent := header{"X-Name", "B\xe9k\xe9s"}
	data, err := Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	var got header
	if err := Unmarshal(data, &got); err != nil || got != sent {
		t.Fatalf("got %q, %v", got, err)
	}
}
