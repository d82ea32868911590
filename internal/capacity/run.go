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

// Role is the role of a VM in the control group.
type Role string

// Roles of a VM in the control group.
const (
	RoleLeader   Role = "leader"
	RoleFollower Role = "follower"
	RoleEntry    Role = "entry" // without a control replica
)

// Cost is the mean cost of control for one VM while the deployment serves no requests.
type Cost struct {
	CorePercent   float64 `json:"core_percent"` // processor time in percent of one core
	ResidentMB    float64 `json:"resident_mb"`
	WireBytesPerS float64 `json:"wire_bytes_per_s"` // UDP payload in and out, between VMs
	ServersKnown  float64 `json:"servers_known"`    // usable backend servers at the end of the measurement
}

// DeploymentSpec describes a deployment to measure.
type DeploymentSpec struct {
	Domains      int // number of failure domains; each but the first has one VM
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
	startTimeout = 60 * time.Second
	poolName     = "llm"
	modelName    = "model"
	// serverCapacity is a typical number of concurrent requests of an engine.
	serverCapacity = 32
	megabyte       = 1e6
	// minKnownShare is the minimum share of its failure domain's servers that a VM must know for a measurement to be
	// valid.
	minKnownShare = 0.98
)

func (p DeploymentSpec) layout() harness.Layout {
	l := harness.Layout{
		Name: "capacity", Model: modelName,
		// The layout starts no backend server processes: the measurement sends announcements for servers that do not exist.
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
	spec       DeploymentSpec
	announcers []*standin.Announcer
	transport  *transport.Client
	operator   *operator.Client
}

// Start starts the deployment that p describes and announces its servers.
func Start(ctx context.Context, o Options, p DeploymentSpec) (*Deployment, error) {
	h, err := harness.Start(ctx, harness.Options{
		Layout: p.layout(), Filbertledge: o.Filbertledge, Standin: o.Standin, ReadyWithin: startTimeout,
	})
	if err != nil {
		return nil, err
	}
	d := &Deployment{Deployment: h, spec: p}
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

// announce announces servers that exist only as announcements. No request is sent to them.
func (d *Deployment) announce() {
	entries := map[string][]string{}
	for _, vm := range d.VMs {
		entries[vm.Domain] = append(entries[vm.Domain], vm.HTTP)
	}
	for domain, list := range entries {
		n := d.spec.OtherServers
		if domain == "a" {
			n = d.spec.Servers
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
	// The entry addresses are rotated by the server's index, so that the announcements are spread evenly over the VMs.
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

// Close stops the announcements and the deployment.
func (d *Deployment) Close() error {
	for _, a := range d.announcers {
		a.Close()
	}
	if d.transport != nil {
		_ = d.transport.Close()
	}
	return d.Deployment.Close()
}

type vmSample struct {
	usage        Usage
	wire         uint64
	role         Role
	knownServers int // usable servers
}

func (d *Deployment) sample(ctx context.Context, vm *harness.VM) (vmSample, error) {
	usage, err := ReadUsage(vm.PID())
	if err != nil {
		return vmSample{}, err
	}
	status, err := d.operator.StatusAt(ctx, vm.Internal)
	if err != nil {
		return vmSample{}, err
	}
	t := status.Traffic[transport.ClassWireVM]
	return vmSample{usage: usage, wire: t.BytesIn + t.BytesOut, role: roleOf(status), knownServers: status.Servers}, nil
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

// Measure returns the mean cost of the VMs of each role over o.Duration. Of the VMs without a control replica, only
// those of the first failure domain count.
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
	costs := d.meanCosts(first, second, time.Since(start))
	return costs, d.checkKnown(second)
}

// checkKnown returns an error if a VM of the first failure domain does not know enough of its servers: the figures of
// VMs that refuse or lose announcements would be too low.
func (d *Deployment) checkKnown(samples []vmSample) error {
	for i, vm := range d.VMs {
		if vm.Domain == "a" && float64(samples[i].knownServers) < minKnownShare*float64(d.spec.Servers) {
			return fmt.Errorf("%s knows %d servers; %d announced themselves in its failure domain", vm.Name, samples[i].knownServers, d.spec.Servers)
		}
	}
	return nil
}

func (d *Deployment) sampleAll(ctx context.Context) ([]vmSample, error) {
	out := make([]vmSample, 0, len(d.VMs))
	for _, vm := range d.VMs {
		s, err := d.sample(ctx, vm)
		if err != nil {
			return nil, fmt.Errorf("measure %s: %w", vm.Name, err)
		}
		out = append(out, s)
	}
	return out, nil
}

func (d *Deployment) meanCosts(first, second []vmSample, took time.Duration) map[Role]Cost {
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
		c.ServersKnown += float64(second[i].knownServers)
		sums[role] = c
		counts[role]++
	}
	for role, c := range sums {
		n := counts[role]
		sums[role] = Cost{CorePercent: c.CorePercent / n, ResidentMB: c.ResidentMB / n, WireBytesPerS: c.WireBytesPerS / n, ServersKnown: c.ServersKnown / n}
	}
	return sums
}

// edit sends table edits at the rate of the specification for the given duration.
func (d *Deployment) edit(ctx context.Context, duration time.Duration) error {
	if d.spec.EditsPerS == 0 {
		return sleep(ctx, duration)
	}
	end := time.Now().Add(duration)
	interval := time.Duration(float64(time.Second) / d.spec.EditsPerS)
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

// OptionsForBinaries returns options with the paths of the binaries in directory dir.
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
