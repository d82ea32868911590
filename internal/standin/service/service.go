// Package service simulates a backend server that is not a model engine: it serves any path, counts the calls that it
// runs, and can be slowed down or made to break connections.
package service

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/api"
	"filbertledge/internal/standin"
)

// Options configures a service. The zero value of a field selects the stated default.
type Options struct {
	Listen          string // default 127.0.0.1:0
	ID              api.ServerID
	Pool            api.Pool
	Domain          api.FailureDomain
	Token           string        // pool token for the announcements
	Entries         []string      // IP:port of the entry VMs to announce to
	Capacity        int           // maximum of concurrently running calls; default 16
	CallTime        time.Duration // duration of a call; default 5 ms
	LoadReportDelay time.Duration // minimum age of the announced load; default 500 ms
	LogFile         string
	Seed            uint64
	OnCrash         func() // called instead of resetting all connections
}

// Reply is the body of each response. Run is the number of this call among those that the service has run, from 1.
type Reply struct {
	Server         api.ServerID `json:"server"`
	Run            int          `json:"run"`
	IdempotencyKey string       `json:"idempotency_key,omitempty"`
	Method         string       `json:"method"`
	Path           string       `json:"path"`
	Digest         string       `json:"digest"` // ContentDigest of method, path and body
}

// Service is a running simulated service.
type Service struct {
	opts        Options
	server      *standin.Server
	announcer   *standin.Announcer
	faults      *standin.FaultState
	log         *standin.Log
	slots       chan struct{}
	runs        atomic.Int64
	waiting     atomic.Int64
	incarnation uint64

	mu          sync.Mutex
	loadSamples []loadSample
	closed      bool
}

type loadSample struct {
	at   time.Time
	load api.Load
}

// Start starts a service.
func Start(opts Options) (*Service, error) {
	if opts.Listen == "" {
		opts.Listen = "127.0.0.1:0"
	}
	if opts.Capacity == 0 {
		opts.Capacity = 16
	}
	if opts.CallTime == 0 {
		opts.CallTime = 5 * time.Millisecond
	}
	if opts.LoadReportDelay == 0 {
		opts.LoadReportDelay = 500 * time.Millisecond
	}
	log, err := standin.NewLog(opts.LogFile, false)
	if err != nil {
		return nil, err
	}
	s := &Service{
		opts: opts, faults: standin.NewFaultState(false), log: log,
		slots: make(chan struct{}, opts.Capacity), incarnation: uint64(time.Now().UnixMilli()),
	}
	s.server, err = standin.Serve(opts.Listen, s.route)
	if err != nil {
		return nil, err
	}
	s.announcer = standin.StartAnnouncer(standin.AnnouncerOptions{Token: opts.Token, Entries: opts.Entries, Seed: opts.Seed, Describe: s.describe})
	return s, nil
}

// Address returns the IP:port of the service.
func (s *Service) Address() string { return s.server.Address() }

// Log returns the requests received so far.
func (s *Service) Log() standin.LogContent { return s.log.Content() }

// Leave announces that the service is leaving.
func (s *Service) Leave() { s.announcer.Leave() }

// Idle reports whether the service has no running or waiting call.
func (s *Service) Idle() bool { return len(s.slots) == 0 && s.waiting.Load() == 0 }

// Close stops the service and resets its connections.
func (s *Service) Close() {
	s.mu.Lock()
	closed := s.closed
	s.closed = true
	s.mu.Unlock()
	if closed {
		return
	}
	s.announcer.Close()
	s.server.Abort()
}

// Crash stops the service as if its process had been killed.
func (s *Service) Crash() {
	if s.opts.OnCrash != nil {
		s.opts.OnCrash()
		return
	}
	go s.Close()
}

// describe returns the announcement. It samples the load, usually once a second, and reports the newest sample that is
// at least LoadReportDelay old. Samples up to that one are dropped; without one that old, the reported load is zero.
func (s *Service) describe() api.Announcement {
	now := time.Now()
	s.mu.Lock()
	s.loadSamples = append(s.loadSamples, loadSample{at: now, load: api.Load{Running: len(s.slots), Waiting: int(s.waiting.Load())}})
	var load api.Load
	for len(s.loadSamples) > 0 && now.Sub(s.loadSamples[0].at) >= s.opts.LoadReportDelay {
		load = s.loadSamples[0].load
		s.loadSamples = s.loadSamples[1:]
	}
	s.mu.Unlock()
	return api.Announcement{
		ID: s.opts.ID, Incarnation: s.incarnation, Address: s.server.Address(), Domain: s.opts.Domain,
		Pool: s.opts.Pool, Capacity: s.opts.Capacity, Load: load,
	}
}

func (s *Service) route(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/standin/v1/log":
		standin.ReplyJSON(ctx, http.StatusOK, s.log.Content())
	case path == "/standin/v1/faults" && ctx.IsPost():
		s.handleFaults(ctx)
	case path == "/standin/v1/leave" && ctx.IsPost():
		s.Leave()
		standin.ReplyJSON(ctx, http.StatusOK, struct{}{})
	default:
		s.handleCall(ctx)
	}
}

func (s *Service) handleFaults(ctx *fasthttp.RequestCtx) {
	var f standin.Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		standin.ReplyError(ctx, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	s.faults.Apply(f)
	if f.AnnouncePaused != nil {
		s.announcer.Pause(*f.AnnouncePaused)
	}
	if f.Leave {
		s.Leave()
	}
	if f.Crash {
		s.Crash()
	}
	standin.ReplyJSON(ctx, http.StatusOK, struct{}{})
}

// handleCall runs one call. The call is completed even if its caller disconnects, as a call with side effects (a
// booking, for example) would be.
func (s *Service) handleCall(ctx *fasthttp.RequestCtx) {
	attempt := string(ctx.Request.Header.Peek(api.HeaderAttemptID))
	ctx.Response.Header.Set(api.HeaderAttemptID, attempt)
	conn := ctx.Conn()
	if s.faults.TakeBreakBeforeRun() {
		standin.Reset(conn)
		return
	}
	reply := s.newReply(ctx)
	seq := s.log.BeginRequest(standin.RequestRecord{
		Server: s.opts.ID, AttemptID: attempt, IdempotencyKey: reply.IdempotencyKey, Method: reply.Method,
		Path: reply.Path, Digest: reply.Digest, Start: time.Now(), State: standin.RequestRunning, Run: reply.Run,
	})
	if m := s.faults.CrashMarker(); m != "" && strings.Contains(string(ctx.PostBody()), m) {
		s.logEnd(seq, standin.RequestAborted)
		standin.Reset(conn)
		s.Crash()
		return
	}
	s.occupySlot()
	if s.faults.TakeBreakBeforeReply() {
		s.logEnd(seq, standin.RequestAborted)
		standin.Reset(conn)
		return
	}
	standin.ReplyJSON(ctx, http.StatusOK, reply)
	if s.faults.TakeBreakAfterByte() {
		s.logEnd(seq, standin.RequestAborted)
		sendPartialReply(ctx, conn)
		return
	}
	s.logEnd(seq, standin.RequestCompleted)
}

func (s *Service) newReply(ctx *fasthttp.RequestCtx) Reply {
	method, path := string(ctx.Method()), string(ctx.RequestURI())
	return Reply{
		Server:         s.opts.ID,
		Run:            int(s.runs.Add(1)),
		IdempotencyKey: string(ctx.Request.Header.Peek(api.HeaderIdempotencyKey)),
		Method:         method,
		Path:           path,
		Digest:         standin.ContentDigest(method, path, string(ctx.PostBody())),
	}
}

func (s *Service) logEnd(sequence uint64, state standin.RequestState) {
	s.log.UpdateRequest(sequence, func(r *standin.RequestRecord) { r.State, r.End = state, time.Now() })
}

// occupySlot waits for one of the Capacity slots and holds it for the duration of a call.
func (s *Service) occupySlot() {
	s.waiting.Add(1)
	s.slots <- struct{}{}
	s.waiting.Add(-1)
	defer func() { <-s.slots }()
	d := time.Duration(float64(s.opts.CallTime) * s.faults.SlowFactor())
	time.Sleep(d + time.Duration(s.faults.AnswerDelayMS())*time.Millisecond)
}

// sendPartialReply sends the header of the response and the first half of its body, then closes the connection.
func sendPartialReply(ctx *fasthttp.RequestCtx, conn net.Conn) {
	body := ctx.Response.Body()
	ctx.Response.Header.SetContentLength(len(body))
	raw := append([]byte{}, ctx.Response.Header.Header()...)
	raw = append(raw, body[:len(body)/2]...)
	_, _ = conn.Write(raw)
	_ = conn.Close()
}
