package operator

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/transport"
)

const (
	// maxEvents limits a timeline so that it fits into one transport message: an event takes at most a few hundred
	// bytes.
	maxEvents = 16384
	// queryTimeout limits the wait for the events of one VM.
	queryTimeout = 2 * time.Second
	// maxParallelQueries limits how many VMs are queried at the same time.
	maxParallelQueries = 32
)

func (s *apiServer) events(_ context.Context, _ transport.Peer, f events.Filter) ([]events.Event, error) {
	return s.opts.Events.Query(withCappedLimit(f)), nil
}

// withCappedLimit sets the limit of f to maxEvents if it is unset or larger than that.
func withCappedLimit(f events.Filter) events.Filter {
	if f.Limit <= 0 || f.Limit > maxEvents {
		f.Limit = maxEvents
	}
	return f
}

// timeline queries all known VMs and merges their events. Each VM returns its newest events up to the limit, so the
// merged list lacks none of the newest events up to the limit.
func (s *apiServer) timeline(ctx context.Context, _ transport.Peer, request TimelineRequest) (Timeline, error) {
	filter := withCappedLimit(request.Filter)
	payload, err := transport.Marshal(filter)
	if err != nil {
		return Timeline{}, err
	}
	merger := timelineMerger{timeline: Timeline{Events: s.opts.Events.Query(filter), QueriedVMs: 1}}
	semaphore := make(chan struct{}, maxParallelQueries)
	var wg sync.WaitGroup
	for _, vm := range s.opts.Control.VMs() {
		if vm.ID == s.opts.VM {
			continue
		}
		merger.timeline.QueriedVMs++
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			merger.add(vm, s.queryVM(ctx, vm, payload))
		})
	}
	wg.Wait()
	return merger.result(filter.Limit), nil
}

// vmEvents holds the events of one VM, or the reason why the VM did not return them.
type vmEvents struct {
	events []events.Event
	err    error
}

// queryVM requests the events of one VM. payload is the encoded filter.
func (s *apiServer) queryVM(ctx context.Context, vm api.VM, payload []byte) vmEvents {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	response, err := s.opts.Peers.Call(ctx, vm.Address, MethodEvents, payload)
	if err != nil {
		return vmEvents{err: err}
	}
	var list []events.Event
	err = transport.Unmarshal(response, &list)
	return vmEvents{list, err}
}

// timelineMerger collects the events of several VMs. It is safe for concurrent use.
type timelineMerger struct {
	mu       sync.Mutex
	timeline Timeline
}

func (m *timelineMerger) add(vm api.VM, result vmEvents) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if result.err != nil {
		m.timeline.Missing = append(m.timeline.Missing, MissingVM{VM: vm.ID, Address: vm.Address, Reason: string(errs.KindOf(result.err))})
		return
	}
	m.timeline.Events = append(m.timeline.Events, result.events...)
}

func (m *timelineMerger) result(limit int) Timeline {
	events.Sort(m.timeline.Events)
	if surplus := len(m.timeline.Events) - limit; surplus > 0 {
		m.timeline.Events = m.timeline.Events[surplus:]
	}
	slices.SortFunc(m.timeline.Missing, func(a, b MissingVM) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return m.timeline
}
