package forward

import (
	"context"
	"fmt"
	"sync"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/suspects"
)

// Liveness is what an attempt to connect tells of a server.
type Liveness int

// Results of an attempt to connect.
const (
	NoResponse  Liveness = iota // the server has ended, is cut off, or does not respond
	Accepting                   // the server's process runs
	NotAccepted                 // the connection was refused: no process listens at the address
)

// String returns the result in the words of the log.
func (l Liveness) String() string {
	return [...]string{"does not respond", "accepts connections", "refuses connections"}[l]
}

// Prober connects to servers without sending a request.
type Prober interface {
	Probe(ctx context.Context, server fleet.Server) Liveness
}

const (
	// probeTimeout limits one attempt to connect to a server that may have ended.
	probeTimeout = 300 * time.Millisecond
	// probeDelay is the time between the break of a connection and the attempt to connect: an ending server may close its
	// connections before its listener.
	probeDelay = 20 * time.Millisecond
)

// SuspectsOptions configures Suspects.
type SuspectsOptions struct {
	Prober Prober
	Events *events.Recorder
	// Clock is a monotonic clock.
	Clock func() time.Duration
	// Changed receives reports that this VM made or cleared, for the other VMs. It must not block.
	Changed func([]suspects.Report)
}

// Suspects finds out which requests crash servers, and judges how they may run. It is safe for concurrent use.
type Suspects struct {
	opts  SuspectsOptions
	table *suspects.Table

	mu      sync.Mutex
	probing map[serverStart]*lostServer
	alone   bool // a request with the verdict Alone runs
}

// serverStart identifies one start of a server.
type serverStart struct {
	id          string
	incarnation int64
}

// lostServer holds the reports that depend on the probe of a server.
type lostServer struct{ reports []suspects.Report }

// NewSuspects returns Suspects without reports.
func NewSuspects(o SuspectsOptions) *Suspects {
	return &Suspects{opts: o, table: suspects.NewTable(suspects.Lifetime), probing: map[serverStart]*lostServer{}}
}

// Table returns the reports of all VMs that are known here.
func (s *Suspects) Table() *suspects.Table { return s.table }

// Judge returns the verdict on a request.
func (s *Suspects) Judge(digest uint64) (v suspects.Verdict, left time.Duration, crashes int) {
	crashes, sinceLast := s.table.Crashes(digest, s.opts.Clock())
	v, left = suspects.Judge(crashes, sinceLast)
	return v, left, crashes
}

// ConnectionLost records that the connection to a server broke while it may have run a request. The report counts at
// once. It is withdrawn if the server still accepts connections: connections also break while both ends are sound.
func (s *Suspects) ConnectionLost(digest uint64, server fleet.Server, request string) {
	report := suspects.Report{Request: digest, Server: api.ServerID(server.ID), Incarnation: uint64(server.Incarnation)}
	if !s.table.Merge(report, s.opts.Clock()) {
		return
	}
	crashes, _ := s.table.Crashes(digest, s.opts.Clock())
	s.opts.Events.Record(events.Event{
		Name: events.RequestSuspected, Request: request, Server: report.Server,
		Detail: fmt.Sprintf("content %016x: the connection broke while the server ran it; servers lost so far, with this one: %d", digest, crashes),
	})
	start := serverStart{server.ID, server.Incarnation}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.probing[start]; p != nil {
		p.reports = append(p.reports, report)
		return
	}
	s.probing[start] = &lostServer{reports: []suspects.Report{report}}
	go s.probe(server, start)
}

// probe finds out whether a server ended, and settles the reports that depend on it.
func (s *Suspects) probe(server fleet.Server, start serverStart) {
	time.Sleep(probeDelay)
	liveness := Probe(s.opts.Prober, server)
	s.mu.Lock()
	reports := s.probing[start].reports
	delete(s.probing, start)
	s.mu.Unlock()
	s.opts.Events.Record(events.Event{
		Name: events.ServerProbed, Server: api.ServerID(server.ID),
		Detail: fmt.Sprintf("after a broken connection: %s %s; requests that it may have run: %d", server.Address, liveness, len(reports)),
	})
	for i := range reports {
		reports[i].Cleared = liveness == Accepting
		if reports[i].Cleared {
			s.table.Merge(reports[i], s.opts.Clock())
		}
	}
	if liveness != Accepting {
		s.opts.Changed(reports)
	}
}

// Probe connects to a server within probeTimeout.
func Probe(p Prober, server fleet.Server) Liveness {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return p.Probe(ctx, server)
}

// Answered records that a server answered a request, which therefore did not crash it.
func (s *Suspects) Answered(digest uint64) {
	if cleared := s.table.Clear(digest, s.opts.Clock()); len(cleared) > 0 {
		s.opts.Changed(cleared)
	}
}

// takeAlone reports whether a request with the verdict Alone may run now. The caller releases it with releaseAlone.
func (s *Suspects) takeAlone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.alone {
		return false
	}
	s.alone = true
	return true
}

func (s *Suspects) releaseAlone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.alone = false
}

// checkSuspect judges the request before an attempt and reports whether it may be sent. It keeps the refusal in suspicion.
func (f *forwardState) checkSuspect() bool {
	s := f.forwarder.opts.Suspects
	if s == nil {
		return true
	}
	verdict, left, crashes := s.Judge(f.digest)
	switch verdict {
	case suspects.Free:
		return true
	case suspects.NoHedge:
		return f.pending == 0
	case suspects.Alone:
		if f.pending > 0 {
			return false
		}
		if !f.alone && !s.takeAlone() {
			f.suspicion = errs.New(errs.Unavailable, "call again shortly", "%d servers were lost while they ran this request, and another such request is running", crashes)
			return false
		}
		f.alone = true
		return true
	default:
		f.suspicion = errs.New(errs.Unavailable, "change the request", "%d servers were lost while they ran this request; it may run again in %s", crashes, left.Round(time.Second))
		f.retryAfter = left
		return false
	}
}

// releaseSuspect lets another suspect run alone.
func (f *forwardState) releaseSuspect() {
	if f.alone {
		f.forwarder.opts.Suspects.releaseAlone()
	}
}

// recordSuspect tells the result of an attempt to Suspects. canceled is true if this VM ended the attempt itself.
func (f *forwardState) recordSuspect(result attemptResult, canceled bool) {
	s := f.forwarder.opts.Suspects
	switch {
	case s == nil || canceled || !result.mayHaveRun():
	case errs.Is(result.err, errs.TruncatedAnswer):
		s.ConnectionLost(f.digest, result.server, f.request.ID)
	case result.err == nil && result.response.Signature != "":
		s.Answered(f.digest)
	}
}
