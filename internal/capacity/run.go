package capacity

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/harness"
	"filbertledge/internal/operator"
	"filbertledge/internal/pki"
	"filbertledge/internal/standin"
	"filbertledge/internal/transport"
)

// Role tells what a VM does for control.
type Role string

// Roles of a VM.
const (
	RoleLeader   Role = "leader"
	RoleFollower Role = "follower"
	RoleEntry    Role = "entry" // without a control replica
)

// Cost is what one VM spends on control while no requests run.
type Cost struct {
	CorePercent   float64 `json:"core_percent"`     // of one core
	ResidentMB    float64 `json:"resident_mb"`      // MB
	WireBytesPerS float64 `json:"wire_bytes_per_s"` // UDP payload in and out, between VMs
	ServersKnown  float64 `json:"servers_known"`    // usable at the end of the measurement
}

// DeploymentSpec describes one measured deployment.
type DeploymentSpec struct {
	Domains      int // failure domains; the first holds all VMs but one in each other domain
	VMs          int // in the first failure domain
	Servers      int // in the first failure domain
	OtherServers int // in each other failure domain
	Rows         int
	EditsPerS    float64
}

// Options of the measurements.
type Options struct {
	Filbertledge string        // path of the product's binary
	Standin      string        // path of the stand-in binary
	Warmup       time.Duration // before each measurement
	Duration     time.Duration // of each measurement
}

const (
	startLimit = 60 * time.Second
	poolName   = "llm"
	modelName  = "model"
	// serverCapacity is a typical number of concurrent requests of an engine.
	serverCapacity = 32
	megabyte       = 1e6
	// knownShare is the share of its failure domain's servers that a VM has to know for a measurement to count.
	knownShare = 0.98
)

func (p DeploymentSpec) layout() harness.Layout {
	l := harness.Layout{
		Name: "capacity", Model: modelName,
		// The layout has no backend server processes: the measurement announces servers itself.
		OtherPools: []string{poolName},
		Rows:       []harness.RowSpec{{Name: "chat", Kind: "chat", Pool: poolName, Model: modelName, Deadline: 30 * time.Second}},
	}
	for i := range p.VMs {
		l.VMs = append(l.VMs, harness.VMSpec{Name: fmt.Sprintf("a-%d", i+1), Domain: "a", Replica: i == 0})
	}
	for d := 1; d < p.Domains; d++ {
		name := string(rune('a' + d))
		l.VMs = append(l.VMs, harness.VMSpec{Name: name + "-1", Domain: name, Replica: d < 3})
	}
	for i := 1; i < p.Rows; i++ {
		l.Rows = append(l.Rows, harness.RowSpec{
			Name: fmt.Sprintf("row-%d", i), Kind: "chat", Pool: poolName, Model: modelName, Deadline: 30 * time.Second,
		})
	}
	return l
}

// Deployment is a running deployment under measurement.
type Deployment struct {
	*harness.Deployment
	point      DeploymentSpec
	announcers []*standin.Announcer
	transport  *transport.Client
	operator   *operator.Client
}

// Start starts the deployment of a point and announces its servers.
func Start(ctx context.Context, o Options, p DeploymentSpec) (*Deployment, error) {
	h, err := harness.Start(ctx, harness.Options{
		Layout: p.layout(), Filbertledge: o.Filbertledge, Standin: o.Standin, ReadyWithin: startLimit,
	})
	if err != nil {
		return nil, err
	}
	d := &Deployment{Deployment: h, point: p}
	if err := d.connect(); err != nil {
		return nil, fmt.Errorf("%w; %v", err, d.Close())
	}
	d.announce()
	return d, nil
}

func (d *Deployment) connect() error {
	dir := filepath.Join(d.Dir, "keys")
	source, err := pki.NewTLSSource(pki.LeafFiles(dir, "harness"), pki.TLSSourceOptions{})
	if err != nil {
		return err
	}
	if d.transport, err = transport.NewClient(transport.ClientOptions{Identity: source}); err != nil {
		return err
	}
	addresses := make([]string, 0, len(d.VMs))
	for _, vm := range d.VMs {
		addresses = append(addresses, vm.Internal)
	}
	d.operator, err = operator.NewClient(d.transport, addresses)
	return err
}

// announce announces servers that exist only as announcements: no request is sent to them.
func (d *Deployment) announce() {
	entries := map[string][]string{}
	for _, vm := range d.VMs {
		entries[vm.Domain] = append(entries[vm.Domain], vm.HTTP)
	}
	for domain, list := range entries {
		n := d.point.OtherServers
		if domain == "a" {
			n = d.point.Servers
		}
		for i := range n {
			d.announcers = append(d.announcers, startServer(domain, i, list))
		}
	}
}

func startServer(domain string, i int, entries []string) *standin.Announcer {
	a := api.Announcement{
		ID: api.ServerID(fmt.Sprintf("%s-server-%d", domain, i)), Incarnation: 1, Address: "127.0.0.1:1",
		Domain: api.FailureDomain(domain), Pool: poolName, Engine: true, Model: modelName, Current: 1,
		Loaded: []api.WeightVersion{1}, Capacity: serverCapacity, State: api.ServerServing, Fencing: api.FencingChecked,
	}
	// Entry addresses are rotated so that the announcements spread over the VMs.
	at := i % len(entries)
	rotated := append(append([]string{}, entries[at:]...), entries[:at]...)
	return standin.StartAnnouncer(standin.AnnouncerOptions{
		Token: harness.Token(poolName), Entries: rotated, Seed: uint64(i),
		Describe: func() api.Announcement {
			now := a
			now.Load = api.Load{Running: i % serverCapacity, TokensPerSecond: float64(1000 + i)}
			return now
		},
	})
}

// Close ends everything that Start started.
func (d *Deployment) Close() error {
	for _, a := range d.announcers {
		a.Close()
	}
	if d.transport != nil {
		_ = d.transport.Close()
	}
	return d.Deployment.Close()
}

type sample struct {
	usage Usage
	wire  uint64
	role  Role
	known int // usable servers
}

func (d *Deployment) sample(ctx context.Context, vm *harness.VM) (sample, error) {
	usage, err := ReadUsage(vm.PID())
	if err != nil {
		return sample{}, err
	}
	status, err := d.operator.StatusAt(ctx, vm.Internal)
	if err != nil {
		return sample{}, err
	}
	t := status.Traffic[transport.ClassWireVM]
	return sample{usage: usage, wire: t.BytesIn + t.BytesOut, role: roleOf(status), known: status.Servers}, nil
}

func roleOf(s operator.Status) Role {
	switch {
	case s.Replica == nil:
		return RoleEntry
	case s.Replica.Role == string(RoleLeader):
		return RoleLeader
	default:
		return RoleFollower
	}
}

// Measure returns the mean cost of the VMs of each role over the duration. Entry VMs are those of the first
// failure domain.
func (d *Deployment) Measure(ctx context.Context, o Options) (map[Role]Cost, error) {
	if err := sleep(ctx, o.Warmup); err != nil {
		return nil, err
	}
	first, err := d.sampleAll(ctx)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if err := d.edit(ctx, o.Duration); err != nil {
		return nil, err
	}
	second, err := d.sampleAll(ctx)
	if err != nil {
		return nil, err
	}
	costs := d.mean(first, second, time.Since(start))
	return costs, d.checkKnown(second)
}

// checkKnown guards against measuring VMs that refuse or lose announcements.
func (d *Deployment) checkKnown(samples []sample) error {
	for i, vm := range d.VMs {
		if vm.Domain == "a" && float64(samples[i].known) < knownShare*float64(d.point.Servers) {
			return fmt.Errorf("%s knows %d servers; %d announced themselves in its failure domain", vm.Name, samples[i].known, d.point.Servers)
		}
	}
	return nil
}

func (d *Deployment) sampleAll(ctx context.Context) ([]sample, error) {
	out := make([]sample, 0, len(d.VMs))
	for _, vm := range d.VMs {
		s, err := d.sample(ctx, vm)
		if err != nil {
			return nil, fmt.Errorf("measure %s: %w", vm.Name, err)
		}
		out = append(out, s)
	}
	return out, nil
}

func (d *Deployment) mean(first, second []sample, took time.Duration) map[Role]Cost {
	sums := map[Role]Cost{}
	counts := map[Role]float64{}
	for i, vm := range d.VMs {
		role := second[i].role
		if role == RoleEntry && vm.Domain != "a" {
			continue
		}
		c := sums[role]
		c.CorePercent += 100 * (second[i].usage.CPU - first[i].usage.CPU).Seconds() / took.Seconds()
		c.ResidentMB += float64(second[i].usage.Resident) / megabyte
		c.WireBytesPerS += float64(second[i].wire-first[i].wire) / took.Seconds()
		c.ServersKnown += float64(second[i].known)
		sums[role] = c
		counts[role]++
	}
	for role, c := range sums {
		n := counts[role]
		sums[role] = Cost{CorePercent: c.CorePercent / n, ResidentMB: c.ResidentMB / n, WireBytesPerS: c.WireBytesPerS / n, ServersKnown: c.ServersKnown / n}
	}
	return sums
}

// edit sends edits at the point's rate for d.
func (d *Deployment) edit(ctx context.Context, duration time.Duration) error {
	if d.point.EditsPerS == 0 {
		return sleep(ctx, duration)
	}
	end := time.Now().Add(duration)
	interval := time.Duration(float64(time.Second) / d.point.EditsPerS)
	for time.Now().Before(end) {
		next := time.Now().Add(interval)
		if _, err := d.EditOnce(ctx); err != nil {
			return err
		}
		if err := sleep(ctx, time.Until(next)); err != nil {
			return err
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// OptionsForBinaries returns the options with the binaries of folder dir.
func OptionsForBinaries(dir string) Options {
	return Options{Filbertledge: filepath.Join(dir, "filbertledge"), Standin: filepath.Join(dir, "standin")}
}

// CheckBinaries returns an error that names the remedy if a binary is missing.
func (o Options) CheckBinaries() error {
	for _, path := range []string{o.Filbertledge, o.Standin} {
		if _, err := os.Stat(path); err != nil {
			return fmt.Errorf("%w; run make build", err)
		}
	}
	return nil
}
