package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/pki"
)

// Bounds of [limits]. The upper bounds of sizes are those of the wire protocols.
const (
	minSize         = 1 * KiB
	maxBody         = 4 * MiB
	maxHeader       = 16 * KiB
	maxStoredAnswer = 256 * KiB

	minDrain       = Duration(time.Second)
	maxDrain       = Duration(time.Hour)
	minReadTimeout = Duration(100 * time.Millisecond)
	maxReadTimeout = Duration(10 * time.Minute)
	minIdleTimeout = Duration(time.Second)
	maxIdleTimeout = Duration(time.Hour)
)

// maxReplicas is the largest number of voters: more would slow each edit and protect no better.
const maxReplicas = 7

var levels = []string{"debug", "info", "warn", "error"}

// Check reports all problems of the settings at once. Warnings returns what it found that does not prevent a
// start.
func (c *Config) Check() error {
	r := &report{file: c.File, problems: slices.Clone(c.found)}
	r.vm(c)
	r.listen(c.Listen)
	r.tls(c.TLS)
	r.replicas(c)
	r.pools(c.Pools)
	r.weights(c.Weights)
	r.limits(c.Limits)
	if !slices.Contains(levels, c.Log.Level) {
		r.add("log.level", "use "+strings.Join(levels, ", "), "level %q does not exist", c.Log.Level)
	}
	c.warnings = r.warnings
	return r.problems.err(c.File)
}

// Warnings returns what the last Check found that does not prevent a start.
func (c *Config) Warnings() Problems { return c.warnings }

func (r *report) required(key, value, remedy string) bool {
	if value == "" {
		r.add(key, remedy, "missing")
	}
	return value != ""
}

func (r *report) name(key, value string) {
	if r.required(key, value, "give a name") && !pki.ValidName(value) {
		r.add(key, "use at most 63 letters, digits, dots, hyphens and underscores", "name %q cannot be used in a certificate", value)
	}
}

func (r *report) vm(c *Config) {
	r.name("vm.name", string(c.VM.Name))
	r.required("vm.failure_domain", string(c.VM.FailureDomain), "name the failure domain of this VM")
	_, replica := c.OwnReplica()
	switch {
	case replica && c.VM.DataDir == "":
		r.add("vm.data_dir", "give a folder on a disk, or take the VM out of [[control.replicas]]",
			"missing, but %q is a control replica", c.VM.Name)
	case !replica && c.VM.DataDir != "":
		r.add("vm.data_dir", "remove it, or add the VM to [[control.replicas]] on all VMs",
			"set, but %q is not a control replica", c.VM.Name)
	}
}

// address checks an IP:port with a port. Host names are refused: resolving them would make the start and each
// reconnection depend on a name service.
func (r *report) address(key, value string) (netip.AddrPort, bool) {
	const remedy = `write an IP address and a port, such as "10.0.0.1:9001"`
	if !r.required(key, value, remedy) {
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		r.add(key, remedy, "%q is not an IP address with a port", value)
		return netip.AddrPort{}, false
	}
	if addr.Port() == 0 {
		r.add(key, remedy, "%q has the port 0", value)
		return netip.AddrPort{}, false
	}
	return addr, true
}

func (r *report) listen(l Listen) {
	var seen []listener
	for _, item := range []struct {
		key, value string
		dialled    bool
	}{
		{"listen.http", l.HTTP, true},
		{"listen.internal", l.Internal, true},
		{"listen.metrics", l.Metrics, false},
	} {
		addr, ok := r.address(item.key, item.value)
		if !ok {
			continue
		}
		if item.dialled && addr.Addr().IsUnspecified() {
			r.add(item.key, "write the address of this VM that others dial", "%q is not an address that others can dial", item.value)
		}
		for _, other := range seen {
			if overlap(addr, other.addr) {
				r.add(item.key, "use another port", "%q overlaps %s", item.value, other.key)
			}
		}
		seen = append(seen, listener{key: item.key, addr: addr})
	}
}

// overlap reports whether two listeners would share a port on an address.
func overlap(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (r *report) tls(t TLS) {
	r.required("tls.ca", t.CA, "give the ca.pem of filbertledge keys init")
	r.required("tls.cert", t.Cert, "give the certificate of filbertledge keys issue")
	r.required("tls.key", t.Key, "give the key of filbertledge keys issue")
}

func (r *report) replicas(c *Config) {
	const key = "control.replicas"
	list := c.Control.Replicas
	if len(list) == 0 {
		r.add(key, "list the same 3 or 5 replicas on all VMs", "missing")
		return
	}
	names, addresses := map[api.VMID]int{}, map[string]int{}
	for i, replica := range list {
		at := fmt.Sprintf("%s[%d]", key, i)
		r.name(at+".name", string(replica.Name))
		r.address(at+".address", replica.Address)
		r.required(at+".failure_domain", string(replica.FailureDomain), "name the failure domain of the replica")
		if first, ok := names[replica.Name]; ok {
			r.add(at+".name", "list each VM once", "%q is already control.replicas[%d]", replica.Name, first)
		}
		if first, ok := addresses[replica.Address]; ok {
			r.add(at+".address", "give each replica its own address", "%q is already that of control.replicas[%d]", replica.Address, first)
		}
		names[replica.Name], addresses[replica.Address] = i, i
		r.ownReplica(at, replica, c)
	}
	r.placement(list)
}

// ownReplica compares an entry with this VM's own settings.
func (r *report) ownReplica(at string, replica Replica, c *Config) {
	if replica.Name != c.VM.Name {
		if replica.Address == c.Listen.Internal {
			r.add(at+".name", "correct vm.name or the replica's address", "%q has this VM's address %s, but this VM is %q",
				replica.Name, replica.Address, c.VM.Name)
		}
		return
	}
	if replica.Address != c.Listen.Internal {
		r.add(at+".address", "make both equal", "%q is not listen.internal %q of this VM", replica.Address, c.Listen.Internal)
	}
	if replica.FailureDomain != c.VM.FailureDomain {
		r.add(at+".failure_domain", "make both equal", "%q is not vm.failure_domain %q", replica.FailureDomain, c.VM.FailureDomain)
	}
}

// placement checks the number of replicas and that no failure domain holds a majority of them. A single
// replica is allowed with a warning, for trials.
func (r *report) placement(list []Replica) {
	const key = "control.replicas"
	if len(list)%2 == 0 {
		r.add(key, "use an odd number: one more replica than that survives no additional loss", "%d replicas are an even number", len(list))
	}
	if len(list) > maxReplicas {
		r.add(key, "use 3, 5 or 7", "%d replicas are more than %d", len(list), maxReplicas)
	}
	if len(list) == 1 {
		r.warn(key, "use 3 or 5 replicas in three or more failure domains outside of trials",
			"one replica: the loss of failure domain %q stops edits", list[0].FailureDomain)
		return
	}
	domains := map[api.FailureDomain]int{}
	for _, replica := range list {
		domains[replica.FailureDomain]++
	}
	for domain, n := range domains {
		if n > len(list)/2 {
			r.add(key, "spread them over at least three failure domains",
				"failure domain %q holds %d of %d replicas, a majority: its loss stops edits", domain, n, len(list))
		}
	}
}

func (r *report) pools(list []Pool) {
	seen := map[api.Pool]int{}
	for i, p := range list {
		at := fmt.Sprintf("pools[%d]", i)
		r.name(at+".name", string(p.Name))
		if first, ok := seen[p.Name]; ok {
			r.add(at+".name", "list each pool once", "%q is already pools[%d]", p.Name, first)
		}
		seen[p.Name] = i
		const remedy = "create token and digest with filbertledge keys token"
		if r.required(at+".token_sha256", p.TokenSHA256, remedy) && !pki.ValidDigest(p.TokenSHA256) {
			// The value is not quoted: it could be the token itself.
			r.add(at+".token_sha256", remedy, "is not a SHA-256 digest in lower-case hexadecimal")
		}
	}
}

func (r *report) weights(w Weights) {
	if w.Rate <= 0 {
		r.add("weights.rate", "give the bytes a second that the weight store allows", "rate is %s", w.Rate)
	}
	if w.Store == "" {
		return
	}
	u, err := url.Parse(w.Store)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		r.add("weights.store", `write a URL such as "http://10.0.0.9:6001"`, "%q is not an HTTP URL", w.Store)
	}
}

func (r *report) limits(l Limits) {
	between(r, "limits.body", l.Body, minSize, maxBody)
	between(r, "limits.header", l.Header, minSize, maxHeader)
	between(r, "limits.stored_answer", l.StoredAnswer, minSize, maxStoredAnswer)
	between(r, "limits.drain", l.Drain, minDrain, maxDrain)
	between(r, "limits.read_timeout", l.ReadTimeout, minReadTimeout, maxReadTimeout)
	between(r, "limits.idle_timeout", l.IdleTimeout, minIdleTimeout, maxIdleTimeout)
}

// bounded is a value with a unit.
type bounded interface {
	~int64
	fmt.Stringer
}

func between[T bounded](r *report, key string, v, low, high T) {
	if v < low || v > high {
		r.add(key, fmt.Sprintf("use a value from %s to %s", low, high), "%s is out of range", v)
	}
}
