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
	// maxEvents bounds a timeline, so that it fits into one message: an event takes at most a few hundred bytes.
	maxEvents = 16384
	// queryTimeout bounds the wait for one VM.
	queryTimeout = 2 * time.Second
	// parallelQueries bounds the VMs that are asked at the same time.
	parallelQueries = 32
)

func (s *server) events(_ context.Context, _ transport.Peer, f events.Filter) ([]events.Event, error) {
	return s.o.Events.Query(bounded(f)), nil
}

func bounded(f events.Filter) events.Filter {
	if f.Limit <= 0 || f.Limit > maxEvents {
		f.Limit = maxEvents
	}
	return f
}

// timeline asks all known VMs and merges their events. Each VM sends at most the limit, so the newest events
// of the merged list are complete.
func (s *server) timeline(ctx context.Context, _ transport.Peer, q TimelineRequest) (Timeline, error) {
	filter := bounded(q.Filter)
	request, err := transport.Marshal(filter)
	if err != nil {
		return Timeline{}, err
	}
	m := merger{out: Timeline{Events: s.o.Events.Query(filter), QueriedVMs: 1}}
	slots := make(chan struct{}, parallelQueries)
	var group sync.WaitGroup
	for _, vm := range s.o.Control.VMs() {
		if vm.ID == s.o.VM {
			continue
		}
		m.out.QueriedVMs++
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			m.add(vm, s.query(ctx, vm, request))
		})
	}
	group.Wait()
	return m.result(filter.Limit), nil
}

// answer is what one VM sent, or why it did not.
type answer struct {
	events []events.Event
	err    error
}

func (s *server) query(ctx context.Context, vm api.VM, request []byte) answer {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	response, err := s.o.Peers.Call(ctx, vm.Address, MethodEvents, request)
	if err != nil {
		return answer{err: err}
	}
	var list []events.Event
	err = transport.Unmarshal(response, &list)
	return answer{list, err}
}

type merger struct {
	mu  sync.Mutex
	out Timeline
}

func (m *merger) add(vm api.VM, a answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.err != nil {
		m.out.Missing = append(m.out.Missing, MissingVM{VM: vm.ID, Address: vm.Address, Reason: string(errs.KindOf(a.err))})
		return
	}
	m.out.Events = append(m.out.Events, a.events...)
}

func (m *merger) result(limit int) Timeline {
	events.Sort(m.out.Events)
	if extra := len(m.out.Events) - limit; extra > 0 {
		m.out.Events = m.out.Events[extra:]
	}
	slices.SortFunc(m.out.Missing, func(a, b MissingVM) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return m.out
}
