package forward

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
)

// fakeProber answers probes from a table by server; others accept connections.
type fakeProber struct {
	mu     sync.Mutex
	found  func(server fleet.Server) Liveness
	probes int
}

type probeFunc func(fleet.Server) Liveness

func (f probeFunc) Probe(_ context.Context, s fleet.Server) Liveness { return f(s) }

// newTestDetour returns the Detour of a VM that knows six servers of service "a" and two of "b".
func newTestDetour(found func(fleet.Server) Liveness) (*Detour, *fakeProber) {
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) }
	registry := fleet.NewRegistry(time.Second)
	for i := range 8 {
		service := "a"
		if i >= 6 {
			service = "b"
		}
		registry.Announce(fleet.Server{ID: fmt.Sprint(service, i), Service: service, Address: fmt.Sprint("10.0.0.", i, ":80"), Incarnation: 1}, clock())
	}
	p := &fakeProber{found: found}
	return NewDetour(DetourOptions{Registry: registry, Clock: clock, Events: events.NewLogRecorder("vm", io.Discard), Prober: probeFunc(func(s fleet.Server) Liveness {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.probes++
		return p.found(s)
	})}), p
}

func (p *fakeProber) set(found func(fleet.Server) Liveness) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.found = found
}

func darkService(name string) func(fleet.Server) Liveness {
	return func(s fleet.Server) Liveness {
		if s.Service == name {
			return NotAccepted
		}
		return Accepting
	}
}

func allDark(fleet.Server) Liveness { return NoResponse }

func allAccept(fleet.Server) Liveness { return Accepting }

// Guards against a service whose servers have all ended, which would send all its load through other VMs.
func TestOneDarkServiceIsNoCut(t *testing.T) {
	for _, dark := range []string{"a", "b"} {
		synctest.Test(t, func(t *testing.T) {
			d, _ := newTestDetour(darkService(dark))
			for range 20 {
				d.Suspect()
				time.Sleep(checkInterval)
				if d.CutOff() {
					t.Fatalf("the VM counts as cut off while only service %q is dark", dark)
				}
			}
		})
	}
}

// Guards against probes for each request that fails, and against new connections to many servers while the links work.
func TestChecksAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const length = 4 * time.Second
		d, p := newTestDetour(allAccept)
		for range int(length / time.Millisecond) {
			d.Suspect()
			time.Sleep(time.Millisecond)
		}
		if most := firstProbed * int(length/checkInterval+1); p.probes > most {
			t.Errorf("%d probes in %s, allowed are %d", p.probes, length, most)
		}
	})
}

// Guards against requests that change their way with each short return of a link.
func TestFlappingLinkKeepsDetour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, p := newTestDetour(allDark)
		d.Suspect()
		synctest.Wait()
		if !d.CutOff() {
			t.Fatal("the cut is not known")
		}
		time.Sleep(checkInterval / 2) // between two checks
		for range 10 {
			p.set(allAccept)
			time.Sleep(checkInterval) // one check succeeds
			p.set(allDark)
			time.Sleep(checkInterval)
			if !d.CutOff() {
				t.Fatal("requests go directly again after one check")
			}
		}
		p.set(allAccept)
		time.Sleep((healedChecks + 1) * checkInterval)
		if d.CutOff() {
			t.Error("requests still go through other VMs")
		}
	})
}
