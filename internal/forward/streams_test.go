package forward

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/routes"
)

// fakeStreamRecords answers every question with the same begin of a stream.
type fakeStreamRecords struct {
	begin StreamBegin
	asked int
	begun []fleet.Server
	err   error
}

func (r *fakeStreamRecords) Begin(_ context.Context, _ string, server fleet.Server) error {
	r.begun = append(r.begun, server)
	return r.err
}

func (r *fakeStreamRecords) Find(context.Context, string) (StreamBegin, error) {
	r.asked++
	return r.begin, r.err
}

// pausingExchanger stands still for a time before it asks whether the request may be sent.
type pausingExchanger struct {
	mu    sync.Mutex
	now   time.Duration
	pause time.Duration
	sent  []string
}

func (p *pausingExchanger) clock() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now
}

func (p *pausingExchanger) Exchange(_ context.Context, server fleet.Server, _ *Request, a Attempt) (*Response, bool, error) {
	p.mu.Lock()
	p.now += p.pause
	p.pause = 0
	p.mu.Unlock()
	if a.Permitted != nil && !a.Permitted() {
		return nil, true, errs.New(errs.Canceled, "send again", "not permitted any more")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = append(p.sent, server.ID)
	return &Response{Status: 200, Signature: "signed"}, false, nil
}

var streamRoute = routes.Route{
	Name: "stream", Host: "h", Prefix: "/s/", Kind: routes.Streaming, Resumable: true, Timeout: time.Second, MaxAttempts: 2,
	ServiceWeights: []routes.ServiceWeight{{Service: "app", Weight: 1}},
}

func streamServer(id, software string, incarnation int64) fleet.Server {
	return fleet.Server{ID: id, Service: "app", Address: id + ":1", FailureDomain: "a", Incarnation: incarnation, Sequence: 1, Software: software}
}

// Guards against a stream that goes on at another version of the servers' software because the VM's list of servers is
// seconds old: a server in it has restarted with another version, or servers of the right version are missing.
func TestTakeUpGoesByTheServersThatTheLeaderKnows(t *testing.T) {
	leaving := streamServer("s0", "v1", 1)
	leaving.Leaving = true
	otherService := streamServer("s9", "v1", 1)
	otherService.Service = "other"
	for name, tc := range map[string]struct {
		own, leaders []fleet.Server
		old          bool // the leader is of an older build
		want         string
	}{
		"same lists":                          {[]fleet.Server{streamServer("s0", "v1", 1)}, []fleet.Server{streamServer("s0", "v1", 1)}, false, "s0"},
		"restarted with another version":      {[]fleet.Server{streamServer("s0", "v1", 1)}, nil, false, ""},
		"another server has joined":           {[]fleet.Server{streamServer("s0", "v1", 1)}, []fleet.Server{streamServer("s1", "v1", 5)}, false, "s1"},
		"its servers are not known here":      {[]fleet.Server{streamServer("s0", "v2", 1)}, []fleet.Server{streamServer("s1", "v1", 5)}, false, "s1"},
		"the VM knows of a later restart":     {[]fleet.Server{streamServer("s0", "v2", 5)}, []fleet.Server{streamServer("s0", "v1", 1)}, false, ""},
		"restarted with the same version":     {[]fleet.Server{streamServer("s0", "v1", 1)}, []fleet.Server{streamServer("s0", "v1", 5)}, false, "s0"},
		"the VM knows that the server leaves": {[]fleet.Server{leaving}, []fleet.Server{streamServer("s0", "v1", 1)}, false, ""},
		"server of another service":           {nil, []fleet.Server{otherService}, false, ""},
		"leader of an older build":            {[]fleet.Server{streamServer("s0", "v1", 1), streamServer("s1", "v2", 1)}, nil, true, "s0"},
		"older build, other versions only":    {[]fleet.Server{streamServer("s1", "v2", 1)}, nil, true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			exchanger := &pausingExchanger{now: time.Minute}
			registry := fleet.NewRegistry(time.Second)
			for _, s := range tc.own {
				registry.Announce(s, exchanger.now)
			}
			records := &fakeStreamRecords{begin: StreamBegin{Software: "v1", Servers: tc.leaders, ServersKnown: !tc.old}}
			f := New(Options{FailureDomain: "a", Registry: registry, Exchanger: exchanger, Clock: exchanger.clock, Streams: records, Events: events.NewLogRecorder(api.VMID("vm"), io.Discard)})
			started := time.Now()
			_, err := f.Forward(context.Background(), &Request{ID: "r", TakeUp: &TakeUp{Attempt: "begun"}, Deadline: started.Add(time.Second)}, &streamRoute)
			var want []string
			if tc.want != "" {
				want = []string{tc.want}
			}
			if !slices.Equal(exchanger.sent, want) {
				t.Errorf("sent to %v, want %v (%v)", exchanger.sent, want, err)
			}
			if tc.want == "" && (!errs.Is(err, errs.Unavailable) || time.Since(started) > 200*time.Millisecond) {
				t.Errorf("not refused at once: %v after %s", err, time.Since(started))
			}
		})
	}
}

// Guards against a VM that stands still between the leader's answer and the sending, and then goes by what held before.
func TestTakeUpAsksAgainAfterStandingStill(t *testing.T) {
	exchanger := &pausingExchanger{now: time.Minute, pause: 3 * time.Second}
	registry := fleet.NewRegistry(time.Minute)
	registry.Announce(streamServer("s0", "v1", 1), exchanger.now)
	records := &fakeStreamRecords{begin: StreamBegin{Software: "v1", Servers: []fleet.Server{streamServer("s0", "v1", 1)}, ServersKnown: true}}
	f := New(Options{FailureDomain: "a", Registry: registry, Exchanger: exchanger, Clock: exchanger.clock, Streams: records, Events: events.NewLogRecorder(api.VMID("vm"), io.Discard)})
	response, err := f.Forward(context.Background(), &Request{ID: "r", TakeUp: &TakeUp{Attempt: "begun"}, Deadline: time.Now().Add(time.Second)}, &streamRoute)
	if err != nil || response.Status != 200 {
		t.Fatalf("got %+v, %v", response, err)
	}
	if records.asked != 2 || len(exchanger.sent) != 1 {
		t.Errorf("asked the leader %d times and sent to %v, want a second question and one request", records.asked, exchanger.sent)
	}
}

// Guards against the record of a stream that does not name the start of the server that began it, so that the leader
// cannot tell whether the server has restarted since.
func TestStreamIsRecordedWithItsServer(t *testing.T) {
	exchanger := &pausingExchanger{now: time.Minute}
	registry := fleet.NewRegistry(time.Second)
	registry.Announce(streamServer("s0", "v1", 7), exchanger.now)
	records := &fakeStreamRecords{}
	f := New(Options{FailureDomain: "a", Registry: registry, Exchanger: exchanger, Clock: exchanger.clock, Streams: records, Events: events.NewLogRecorder(api.VMID("vm"), io.Discard)})
	if _, err := f.Forward(context.Background(), &Request{ID: "r", Deadline: time.Now().Add(time.Second)}, &streamRoute); err != nil {
		t.Fatal(err)
	}
	if len(records.begun) != 1 || records.begun[0].ID != "s0" || records.begun[0].Incarnation != 7 || records.begun[0].Software != "v1" {
		t.Fatalf("recorded %+v", records.begun)
	}
}
