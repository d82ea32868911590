// Package service is a stand-in for a plain service: it answers any path, counts its runs, and can be slowed
// or made to break connections.
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
	Token           string        // pool token
	Entries         []string      // IP:port of entry VMs
	Capacity        int           // concurrent calls; default 16
	CallTime        time.Duration // default 5 ms
	LoadReportDelay time.Duration // age of load reports; default 500 ms
	LogFile         string
	Seed            uint64
	OnCrash         func() // called instead of resetting all connections
}

// Reply is the body of each answer. Run counts the calls that this service has run, from 1.
type Reply struct {
	Server         api.ServerID `json:"server"`
	Run            int          `json:"run"`
	IdempotencyKey string       `json:"idempotency_key,omitempty"`
	Method         string       `json:"method"`
	Path           string       `json:"path"`
	Digest         string       `json:"digest"` // ContentDigest of method, path and body
}

// Service is a running stand-in.
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

	mu     sync.Mutex
	past   []lateLoad
	closed bool
}

type lateLoad struct {
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

// Log returns what the service saw so far.
func (s *Service) Log() standin.LogContent { return s.log.Content() }

// Leave announces that the service is leaving.
func (s *Service) Leave() { s.announcer.Leave() }

// Idle reports whether no call is inside the service.
func (s *Service) Idle() bool { return len(s.slots) == 0 && s.waiting.Load() == 0 }

// Close ends the service and resets its connections.
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

// Crash ends the service as the death of its process would.
func (s *Service) Crash() {
	if s.opts.OnCrash != nil {
		s.opts.OnCrash()
		return
	}
	go s.Close()
}

// describe reports the load of LoadLag ago; it is called once a second.
func (s *Service) describe() api.Announcement {
	now := time.Now()
	s.mu.Lock()
	s.past = append(s.past, lateLoad{at: now, load: api.Load{Running: len(s.slots), Waiting: int(s.waiting.Load())}})
	var load api.Load
	for len(s.past) > 0 && now.Sub(s.past[0].at) >= s.opts.LoadReportDelay {
		load = s.past[0].load
		s.past = s.past[1:]
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
		s.call(ctx)
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

// call runs one call. A call whose caller leaves is run to its end, as a booking would be.
func (s *Service) call(ctx *fasthttp.RequestCtx) {
	attempt := string(ctx.Request.Header.Peek(api.HeaderAttemptID))
	ctx.Response.Header.Set(api.HeaderAttemptID, attempt)
	conn := ctx.Conn()
	if s.faults.TakeBreakBeforeRun() {
		standin.Reset(conn)
		return
	}
	reply := s.reply(ctx)
	seq := s.log.BeginRequest(standin.RequestRecord{
		Server: s.opts.ID, AttemptID: attempt, IdempotencyKey: reply.IdempotencyKey, Method: reply.Method,
		Path: reply.Path, Digest: reply.Digest, Start: time.Now(), State: standin.RequestRunning, Run: reply.Run,
	})
	if m := s.faults.CrashMarker(); m != "" && strings.Contains(string(ctx.PostBody()), m) {
		s.end(seq, standin.RequestAborted)
		standin.Reset(conn)
		s.Crash()
		return
	}
	s.work()
	if s.faults.TakeBreakBeforeReply() {
		s.end(seq, standin.RequestAborted)
		standin.Reset(conn)
		return
	}
	standin.ReplyJSON(ctx, http.StatusOK, reply)
	if s.faults.TakeBreakAfterByte() {
		s.end(seq, standin.RequestAborted)
		breakInside(ctx, conn)
		return
	}
	s.end(seq, standin.RequestCompleted)
}

func (s *Service) reply(ctx *fasthttp.RequestCtx) Reply {
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

func (s *Service) end(sequence uint64, state standin.RequestState) {
	s.log.UpdateRequest(sequence, func(r *standin.RequestRecord) { r.State, r.End = state, time.Now() })
}

func (s *Service) work() {
	s.waiting.Add(1)
	s.slots <- struct{}{}
	s.waiting.Add(-1)
	defer func() { <-s.slots }()
	d := time.Duration(float64(s.opts.CallTime) * s.faults.SlowFactor())
	time.Sleep(d + time.Duration(s.faults.AnswerDelayMS())*time.Millisecond)
}

// breakInside sends the head of the response and half of its body, then breaks the connection.
func breakInside(ctx *fasthttp.RequestCtx, conn net.Conn) {
	body := ctx.Response.Body()
	ctx.Response.Header.SetContentLength(len(body))
	raw := append([]byte{}, ctx.Response.Header.Header()...)
	raw = append(raw, body[:len(body)/2]...)
	_, _ = conn.Write(raw)
	_ = conn.Close()
}
