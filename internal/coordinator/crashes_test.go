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
