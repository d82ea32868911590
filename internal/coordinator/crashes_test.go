package coordinator

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/boottime"
	"filbertledge/internal/fleet"
	"filbertledge/internal/forward"
	"filbertledge/internal/suspects"
)

// silentEngines answer no attempt to connect.
type silentEngines struct{ *fakeEngines }

func (silentEngines) Probe(ctx context.Context, _ fleet.Server) forward.Liveness {
	<-ctx.Done()
	return forward.NoResponse
}

// Guards against a call that reports many lost servers, outlasts its timeout and is repeated for ever.
func TestManyLostServersAreProbedTogether(t *testing.T) {
	const servers, timeout = 40, time.Second // as suspectsReportTimeout of package gateway
	synctest.Test(t, func(t *testing.T) {
		s, cancel := newStandaloneSession(t, silentEngines{newFakeEngines()})
		defer cancel()
		var reports []suspects.Report
		for i := range servers {
			v := fleet.Server{ID: fmt.Sprint("s", i), Service: "a", Address: fmt.Sprint("10.0.0.", i, ":80"), Incarnation: 1}
			s.node.registry.Announce(v, boottime.Now())
			reports = append(reports, suspects.Report{Request: uint64(i), Server: api.ServerID(v.ID), Incarnation: 1})
		}
		started := time.Now()
		if found := s.probeServers(reports); len(found) != servers || time.Since(started) >= timeout {
			t.Errorf("%d servers were probed in %s", len(found), time.Since(started))
		}
	})
}

// Guards against VMs that ask the leader again and again, without a pause, once a server was lost.
func TestReportsOfLostServersDoNotSpeedUpFollowCalls(t *testing.T) {
	const (
		length = 3 * time.Second
		// most is the number of calls of a VM in length: one in each FollowPollTimeout, and those that a change ends early.
		most = 3 * int(length/FollowPollTimeout)
	)
	c := newCluster(t, seedCount)
	c.startAll()
	c.configure(1)
	reports := []suspects.Report{{Request: 1, Server: "lost", Incarnation: 1, Confirmed: true}, {Request: 2, Server: "lost", Incarnation: 1, Confirmed: true}}
	c.callLeader("reports of lost servers", func(ctx context.Context, n *Node) error {
		s, err := n.currentSession()
		if err == nil {
			_, err = s.reportSuspects(ctx, SuspectsReport{VM: "entry", Reports: reports})
		}
		return err
	})
	leader := c.runningNodes()[c.leader()]
	c.waitUntil("the other VMs know the reports", func() bool {
		for _, n := range c.runningNodes() {
			if count, _ := n.suspects.Table().Crashes(1, boottime.Now()); count != 1 {
				return false
			}
		}
		return true
	})
	// A follow call with the leader's newest revisions is held for FollowPollTimeout.
	var q FollowRequest
	calls := 0
	for started := time.Now(); time.Since(started) < length; calls++ {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		r, err := Follow(ctx, leader.client, leader.opts.Address, q)
		cancel()
		if err != nil {
			t.Fatal(err)
		}
		q = FollowRequest{VM: "entry", Forwards: true, Term: r.Term, ConfigurationVersion: 1, ServersRevision: r.ServersRevision, LimitsRevision: r.LimitsRevision, SuspectsRevision: r.SuspectsRevision}
	}
	if calls > most {
		t.Errorf("%d follow calls in %s, allowed are %d", calls, length, most)
	}
}
