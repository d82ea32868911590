package gateway

import (
	"context"
	"io"
	"testing"
	"time"

	"filbertledge/internal/coordinator"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/routes"
)

func newTestGateway() *Gateway {
	g := New(Options{Name: "vm", FailureDomain: "a", AnnounceInterval: time.Second, Events: events.NewLogRecorder("vm", io.Discard)})
	g.configuration.Store(&routes.Configuration{Version: 5})
	return g
}

// Guards against callers of other VMs that take all of this VM's memory, against an older configuration than the one that
// determined the route, and against requests at a VM that stops.
func TestHandoverIsBounded(t *testing.T) {
	g := newTestGateway()
	var releases []func()
	begin := func(number, bytes int, version uint64) error {
		_, release, err := g.handover.begin(context.Background(), handoverRequest{VM: "other", Number: uint64(number), ConfigurationVersion: version, Body: make([]byte, bytes)})
		if err == nil {
			releases = append(releases, release)
		}
		return err
	}
	if err := begin(0, 0, 6); !errs.Is(err, errs.Unavailable) {
		t.Errorf("a request with a newer configuration: %v", err)
	}
	for i := range maxHandedOver {
		if err := begin(i, 0, 5); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
	}
	if err := begin(maxHandedOver, 0, 5); !errs.Is(err, errs.Unavailable) {
		t.Errorf("one request too many: %v", err)
	}
	for _, release := range releases {
		release()
	}
	if err := begin(0, maxHandedOverBytes, 5); err != nil {
		t.Fatal(err)
	}
	if err := begin(1, 1, 5); !errs.Is(err, errs.Unavailable) {
		t.Errorf("one byte too many: %v", err)
	}
	releases[len(releases)-1]()
	g.BeginStop(time.Minute)
	if err := begin(2, 0, 5); !errs.Is(err, errs.Unavailable) {
		t.Errorf("a request at a VM that stops: %v", err)
	}
}

// Guards against sending all requests to one VM, to one that failed a moment ago, or to another failure domain without need.
func TestChooseSpreadsRequests(t *testing.T) {
	g := newTestGateway()
	none := func(string) int { return 0 }
	if _, ok := g.handover.Choose(none); ok {
		t.Error("a VM was chosen though none is known")
	}
	g.handover.setPeers([]coordinator.Peer{{VM: "a1", FailureDomain: "a"}, {VM: "a2", FailureDomain: "a"}, {VM: "b1", FailureDomain: "b"}})
	uses := map[string]int{}
	for range 10 {
		p, _ := g.handover.Choose(none)
		uses[p.VM]++
		g.handover.count(p.VM, 1)
	}
	if uses["a1"] != 5 || uses["a2"] != 5 {
		t.Errorf("uses with an idle VM in another failure domain: %v", uses)
	}
	g.handover.avoidPeer("a1")
	g.handover.avoidPeer("a2")
	if p, _ := g.handover.Choose(none); p.VM != "b1" {
		t.Errorf("%s was chosen though it failed a moment ago", p.VM)
	}
	if p, _ := g.handover.Choose(func(vm string) int { return map[string]int{"a1": -1, "a2": 1, "b1": 3}[vm] }); p.VM != "a2" {
		t.Errorf("%s was chosen, which has run or refused the request", p.VM)
	}
}

// Guards against a malformed answer of a server that a VM of an earlier build passes on.
func TestMalformedAnswerOfAnotherVMIsRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		reply handoverReply
		valid bool
	}{
		"sound":                     {handoverReply{Status: 200, Headers: []handoverHeader{{"X-A", "b\tc"}, {"X-Empty", ""}}}, true},
		"status 000":                {handoverReply{Status: 0}, false},
		"blank in a name":           {handoverReply{Status: 200, Headers: []handoverHeader{{"X-A", "b"}, {"X A", "b"}}}, false},
		"blank at the end of one":   {handoverReply{Status: 200, Headers: []handoverHeader{{"X-A ", "b"}}}, false},
		"control byte in a name":    {handoverReply{Status: 200, Headers: []handoverHeader{{"X\x01A", "b"}}}, false},
		"no name":                   {handoverReply{Status: 200, Headers: []handoverHeader{{"", "b"}}}, false},
		"further field in a value":  {handoverReply{Status: 200, Headers: []handoverHeader{{"X-A", "b\r\nX-B: c"}}}, false},
		"control byte in a failure": {handoverReply{Status: 500, Headers: []handoverHeader{{"X-A", "\x00"}}}, false},
	} {
		if got := tc.reply.isValid(); got != tc.valid {
			t.Errorf("%s: valid %t", name, got)
		}
	}
}
