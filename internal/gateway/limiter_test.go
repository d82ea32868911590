package gateway

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/boottime"
	"filbertledge/internal/coordinator"
	"filbertledge/internal/events"
	"filbertledge/internal/link"
	"filbertledge/internal/ratelimit"
)

// fakeLeader answers the calls of a limiter.
type fakeLeader struct {
	address string
	asked   chan coordinator.PermissionRequest
	reports chan coordinator.LimitsReport
	reply   coordinator.PermissionReply
}

func startFakeLeader(t *testing.T) *fakeLeader {
	t.Helper()
	f := &fakeLeader{asked: make(chan coordinator.PermissionRequest, 100), reports: make(chan coordinator.LimitsReport, 100)}
	server := link.NewServer()
	link.Handle(server, coordinator.MethodPermission, func(_ context.Context, q coordinator.PermissionRequest) (coordinator.PermissionReply, error) {
		f.asked <- q
		return f.reply, nil
	})
	link.Handle(server, coordinator.MethodLimits, func(_ context.Context, q coordinator.LimitsReport) (coordinator.Empty, error) {
		f.reports <- q
		return coordinator.Empty{}, nil
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = ln.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := server.Serve(ctx, ln); err != nil && ctx.Err() == nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { stop(); <-done })
	return f
}

func newTestLimiter(t *testing.T, leader string) *limiter {
	t.Helper()
	client := link.NewClient()
	t.Cleanup(client.Close)
	return newLimiter("vm", client, func() string { return leader }, events.NewLogRecorder(api.VMID("vm"), io.Discard))
}

func limitTo(perSecond float64) ratelimit.Statement {
	return ratelimit.Statement{Kind: ratelimit.Limited, PerSecond: perSecond}
}

// Guards against a call to the leader for each request when limits are far above the load, and for each refused request
// when they are far below it.
func TestLimiterAsksLeaderSparingly(t *testing.T) {
	leader := startFakeLeader(t)
	l := newTestLimiter(t, leader.address)
	l.Observe("s", limitTo(100), boottime.Now())
	leader.reply = coordinator.PermissionReply{Grant: ratelimit.Grant{Server: "s", Spare: 9}, Members: 3}
	for range 20 {
		if g := l.Reserve(context.Background(), []string{"s"}, 0); g.Server != "s" {
			t.Fatalf("no permission: %+v", g)
		}
	}
	if n := len(leader.asked); n != 2 {
		t.Fatalf("%d calls for 20 requests with 9 spare permissions a call, want 2", n)
	}
	if q := <-leader.asked; len(q.Limits) != 1 || q.Limits[0].PerSecond != 100 || q.VM != "vm" {
		t.Fatalf("the call does not tell the limit: %+v", q)
	}
	leader.reply = coordinator.PermissionReply{Grant: ratelimit.Grant{Wait: time.Minute}, Members: 3}
	before := len(leader.asked)
	for range 20 {
		if g := l.Reserve(context.Background(), []string{"s"}, 0); g.Server != "" || g.Wait <= 0 {
			t.Fatalf("a permission that the leader denied: %+v", g)
		}
	}
	if n := len(leader.asked) - before; n != 1 {
		t.Fatalf("%d calls for 20 requests after a denial, want 1", n)
	}
}

// Guards against a VM that sends without permission because the leader does not answer, against one that makes each
// request wait for the leader, and against one that never sends again.
func TestLimiterWithoutLeader(t *testing.T) {
	l := newTestLimiter(t, "")
	l.Observe("s", limitTo(4), boottime.Now())
	l.recordContact(boottime.Now(), 2)
	if g := l.Reserve(context.Background(), []string{"s"}, time.Second); g.Server != "" {
		t.Fatalf("a permission right after the last contact: %+v", g)
	}
	l.contactAt = boottime.Now() - ratelimit.OwnShareAfter - time.Second
	sent, length := 0, 2*time.Second
	for start := time.Now(); time.Since(start) < length; time.Sleep(5 * time.Millisecond) {
		asked := time.Now()
		if l.Reserve(context.Background(), []string{"s"}, time.Second).Server != "" {
			sent++
		}
		if took := time.Since(asked); took > permissionCallTimeout {
			t.Fatalf("a refusal took %s without a leader", took)
		}
	}
	// Its share is 2 a second; a turn at the border counts in full.
	if sent < 3 || sent > 5 {
		t.Fatalf("%d requests in %s, the share of the VM is 4", sent, length)
	}
}

// Guards against a limit, or its withdrawal, that only the VM knows whose request was answered with it.
func TestLimiterReportsToLeader(t *testing.T) {
	leader := startFakeLeader(t)
	l := newTestLimiter(t, leader.address)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); l.reportLoop(ctx) }()
	defer func() { stop(); <-done }()
	for i, s := range []ratelimit.Statement{limitTo(3), {Kind: ratelimit.Unlimited}} {
		if !l.Observe("s", s, boottime.Now()) {
			t.Fatalf("statement %d changed nothing", i)
		}
		select {
		case r := <-leader.reports:
			if len(r.Limits) != 1 || r.Limits[0].Withdrawn != (s.Kind == ratelimit.Unlimited) || r.Limits[0].PerSecond != s.PerSecond {
				t.Fatalf("report %+v of %+v", r, s)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no report within 5 s")
		}
	}
}

// Guards against a caller that leaves while its request waits for a permission, and thereby keeps the VM from asking the
// leader for others.
func TestLimiterAsksAgainAfterCallerLeft(t *testing.T) {
	leader := startFakeLeader(t)
	l := newTestLimiter(t, leader.address)
	l.Observe("s", limitTo(2), boottime.Now())
	leader.reply = coordinator.PermissionReply{Grant: ratelimit.Grant{Server: "s"}, Members: 1}
	left, leave := context.WithCancel(context.Background())
	leave()
	if g := l.Reserve(left, []string{"s"}, 0); g.Server != "" {
		t.Fatalf("a permission for a request that has ended: %+v", g)
	}
	if g := l.Reserve(context.Background(), []string{"s"}, 0); g.Server != "s" {
		t.Fatalf("no permission after another caller left: %+v", g)
	}
}
