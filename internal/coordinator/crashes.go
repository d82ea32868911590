package coordinator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"filbertledge/internal/boottime"
	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/forward"
	"filbertledge/internal/link"
	"filbertledge/internal/rollout"
	"filbertledge/internal/suspects"
)

// SuspectsReport tells the leader the servers that a VM lost while they ran requests, and the requests that were answered
// after all.
type SuspectsReport struct {
	VM      string            `cbor:"1,keyasint"`
	Reports []suspects.Report `cbor:"2,keyasint,omitempty"`
}

// SuspectsReply holds the same reports as the leader judges them.
type SuspectsReply struct {
	Reports []suspects.Report `cbor:"1,keyasint,omitempty"`
}

// ReportSuspects tells the leader at address about requests under which servers were lost.
func ReportSuspects(ctx context.Context, c *link.Client, address string, q SuspectsReport) (SuspectsReply, error) {
	return link.Call[SuspectsReport, SuspectsReply](ctx, c, address, MethodSuspects, q)
}

// reportSuspects judges the reports of another VM and spreads them. A VM that cannot reach a server may be cut off itself:
// the leader connects to the server, too.
func (s *session) reportSuspects(_ context.Context, q SuspectsReport) (SuspectsReply, error) {
	liveness := s.probeServers(q.Reports)
	for i := range q.Reports {
		r := &q.Reports[i]
		switch found := liveness[string(r.Server)]; {
		case r.Cleared:
		case found == forward.NotAccepted || s.hasEnded(*r):
			r.Confirmed = true
		case found == forward.Accepting:
			r.Cleared = true
		}
	}
	s.mergeSuspects(q.Reports, q.VM == s.node.opts.Name)
	return SuspectsReply{Reports: q.Reports}, s.checkLeadership()
}

// probeServers connects to the servers of reports at the same time: a call with many of them must not outlast its timeout.
func (s *session) probeServers(reports []suspects.Report) map[string]forward.Liveness {
	servers := map[string]fleet.Server{}
	for _, r := range reports {
		v, known := s.node.registry.Get(string(r.Server))
		if known && !r.Cleared && !r.Confirmed && uint64(v.Incarnation) == r.Incarnation {
			servers[v.ID] = v
		}
	}
	var mu sync.Mutex
	var probes sync.WaitGroup
	liveness := map[string]forward.Liveness{}
	for id, v := range servers {
		probes.Go(func() {
			found := forward.Probe(s.node.opts.EngineClient, v)
			mu.Lock()
			defer mu.Unlock()
			liveness[id] = found
		})
	}
	probes.Wait()
	return liveness
}

// hasEnded reports whether the registry shows that the server of a report has ended: it, or another server at its address,
// has started since, or it has stopped announcing itself.
func (s *session) hasEnded(r suspects.Report) bool {
	v, known := s.node.registry.Lookup(string(r.Server), boottime.Now())
	return !known || uint64(v.Incarnation) > r.Incarnation || v.Silent
}

// mergeSuspects takes reports over, stores them and spreads them to all VMs. own reports are in the table already.
func (s *session) mergeSuspects(reports []suspects.Report, own bool) {
	now, timeOfDay := boottime.Now(), time.Now()
	var c rollout.Command
	for _, r := range reports {
		if !s.node.suspects.Table().Merge(r, now) && !own {
			continue
		}
		c.Suspects = append(c.Suspects, rollout.CrashReport{Report: r, At: timeOfDay.Add(-r.Age()).UnixMilli()})
		s.recordJudgement(r, now)
	}
	if len(c.Suspects) == 0 {
		return
	}
	s.signalServers()
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
		defer cancel()
		if _, err := s.node.propose(ctx, c); err != nil {
			s.node.opts.Events.Log().WithError(err).Info("cannot store reports of lost servers; a new leader knows them only if they are reported again")
		}
	}()
}

func (s *session) recordJudgement(r suspects.Report, now time.Duration) {
	crashes, _ := s.node.suspects.Table().Crashes(r.Request, now)
	e := events.Event{Server: r.Server, Detail: fmt.Sprintf("content %016x, lost %s ago; servers that ended under it: %d", r.Request, r.Age(), crashes)}
	switch {
	case r.Cleared:
		e.Name = events.CrashDismissed
	case r.Confirmed:
		e.Name = events.CrashConfirmed
	default:
		return // it waits for a confirmation
	}
	s.record(e)
}

// confirmCrashes confirms the reports whose servers have ended, as the registry shows later.
func (s *session) confirmCrashes(now time.Duration) {
	var confirmed []suspects.Report
	for _, r := range s.node.suspects.Table().Unconfirmed(now) {
		if s.hasEnded(r) {
			r.Confirmed = true
			confirmed = append(confirmed, r)
		}
	}
	s.mergeSuspects(confirmed, false)
	s.node.suspects.Table().Expire(now)
}

// loadSuspects takes over the reports that earlier leaders stored.
func (s *session) loadSuspects() {
	now, timeOfDay := boottime.Now(), time.Now()
	for _, r := range s.node.state.Suspects() {
		r.Report.AgeMS = uint32(max(0, timeOfDay.UnixMilli()-r.At))
		s.node.suspects.Table().Merge(r.Report, now)
	}
}

// maxSuspectsInReply bounds the reports in one reply to a follow call. The next call brings the others.
const maxSuspectsInReply = 256

// newSuspects returns the suspects of a node. While the node leads, its own reports take the way of those of other VMs.
func newSuspects(n *Node) *forward.Suspects {
	return forward.NewSuspects(forward.SuspectsOptions{
		Prober: n.opts.EngineClient, Events: n.opts.Events, Clock: boottime.Now,
		Changed: func(reports []suspects.Report) {
			if s := n.session.Load(); s != nil {
				go s.spreadOwnSuspects(reports)
			}
		},
	})
}

// spreadOwnSuspects stores and spreads reports that this VM made, and that its table contains already.
func (s *session) spreadOwnSuspects(reports []suspects.Report) {
	if _, err := s.reportSuspects(s.ctx, SuspectsReport{VM: s.node.opts.Name, Reports: reports}); err != nil {
		s.node.opts.Events.Log().WithError(err).Info("cannot spread reports of lost servers; the next leader learns of later ones")
	}
}

// digestOf returns the digest of an item. The items of a group may have the same content; an item keeps its ID in a later
// batch.
func digestOf(b *rollout.Batch, item *rollout.Item) uint64 {
	if item.Stored != nil {
		return item.Stored.Digest
	}
	return suspects.Digest(item.Body, b.Host, item.ID, item.Path)
}
