package workload

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"filbertledge/internal/harness"
)

const (
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// Balancer takes the place of the platform's balancer: it gives callers a random entry VM that is ready.
type Balancer struct {
	d *harness.Deployment

	mu    sync.Mutex
	rng   *rand.Rand
	ready map[*harness.VM]bool
}

func NewBalancer(d *harness.Deployment, seed uint64) *Balancer {
	b := &Balancer{d: d, rng: rand.New(rand.NewPCG(seed, 4)), ready: map[*harness.VM]bool{}}
	for _, vm := range d.VMs {
		b.ready[vm] = true
	}
	return b
}

func (b *Balancer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, vm := range b.d.VMs {
		wg.Go(func() { b.probe(ctx, vm) })
	}
	wg.Wait()
}

func (b *Balancer) probe(ctx context.Context, vm *harness.VM) {
	for ctx.Err() == nil {
		short, cancel := context.WithTimeout(ctx, probeTimeout)
		ready := b.d.Ready(short, vm)
		cancel()
		b.mu.Lock()
		b.ready[vm] = ready
		b.mu.Unlock()
		Pause(ctx, probeInterval)
	}
}

// Pick returns a ready entry VM other than last if there is one.
func (b *Balancer) Pick(last *harness.VM) *harness.VM {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.readyVMs()
	vm := list[b.rng.IntN(len(list))]
	for vm == last && len(list) > 1 {
		vm = list[b.rng.IntN(len(list))]
	}
	return vm
}

// readyVMs returns the ready entry VMs, or all if none is; the caller holds b.mu.
func (b *Balancer) readyVMs() []*harness.VM {
	var list []*harness.VM
	for _, vm := range b.d.VMs {
		if b.ready[vm] {
			list = append(list, vm)
		}
	}
	if len(list) == 0 {
		return b.d.VMs
	}
	return list
}

// ReadyAddresses returns the HTTP addresses of the ready entry VMs.
func (b *Balancer) ReadyAddresses() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, vm := range b.readyVMs() {
		out = append(out, vm.HTTP)
	}
	return out
}

// Pause waits for d or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
