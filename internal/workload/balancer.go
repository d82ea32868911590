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

// Balancer acts as the load balancer of the platform. It polls GET /readyz of every entry VM and picks a random ready
// one.
type Balancer struct {
	d *harness.Deployment

	mu    sync.Mutex
	rng   *rand.Rand
	ready map[*harness.VM]bool
}

// NewBalancer returns a balancer that considers every entry VM ready until Run has polled it.
func NewBalancer(d *harness.Deployment, seed uint64) *Balancer {
	b := &Balancer{d: d, rng: rand.New(rand.NewPCG(seed, 4)), ready: map[*harness.VM]bool{}}
	for _, vm := range d.VMs {
		b.ready[vm] = true
	}
	return b
}

// Run polls the readiness of the entry VMs until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, vm := range b.d.VMs {
		wg.Go(func() { b.pollReadiness(ctx, vm) })
	}
	wg.Wait()
}

func (b *Balancer) pollReadiness(ctx context.Context, vm *harness.VM) {
	for ctx.Err() == nil {
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		ready := b.d.Ready(probeCtx, vm)
		cancel()
		b.mu.Lock()
		b.ready[vm] = ready
		b.mu.Unlock()
		Pause(ctx, probeInterval)
	}
}

// Pick returns a random ready entry VM, different from last if more than one is ready.
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

// readyVMs returns the ready entry VMs, or all entry VMs if none is ready. b.mu must be held.
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

// ReadyAddresses returns the HTTP addresses of the ready entry VMs, or of all entry VMs if none is ready.
func (b *Balancer) ReadyAddresses() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, vm := range b.readyVMs() {
		out = append(out, vm.HTTP)
	}
	return out
}

// Pause waits until d has passed or ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
