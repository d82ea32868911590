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

// Accepted ranges of the keys in the section [limits]. The upper bounds of the sizes are the limits of the wire
// protocols.
const (
	minSize         = 1 * KiB
	maxBody         = 4 * MiB
	maxHeader       = 16 * KiB
	maxStoredAnswer = 256 * KiB
	minCallerMemory = 16 * MiB
	maxCallerMemory = 64 * 1024 * MiB

	minDrain       = Duration(time.Second)
	maxDrain       = Duration(time.Hour)
	minReadTimeout = Duration(100 * time.Millisecond)
	maxReadTimeout = Duration(10 * time.Minute)
	minIdleTimeout = Duration(time.Second)
	maxIdleTimeout = Duration(time.Hour)
)

// maxReplicas is the largest number of control replicas. More replicas would slow down each edit without better fault
// tolerance.
const maxReplicas = 7

var logLevels = []string{"debug", "info", "warn", "error"}

// Check validates the settings. The error contains all problems, including those found by Read. Problems that do not
// prevent the VM from starting are returned by Warnings instead.
func (c *Config) Check() error {
	r := &checker{file: c.File, problems: slices.Clone(c.readProblems)}
	r.checkVM(c)
	r.checkListen(c.Listen)
	r.checkTLS(c.TLS)
	r.checkReplicas(c)
	r.checkPools(c.Pools)
	r.checkWeights(c.Weights)
	r.checkLimits(c.Limits)
	if !slices.Contains(logLevels, c.Log.Level) {
		r.add("log.level", "use "+strings.Join(logLevels, ", "), "level %q does not exist", c.Log.Level)
	}
	c.warnings = r.warnings
	return r.problems.err(c.File)
}

// Warnings returns the problems found by the last call of Check that do not prevent the VM from starting.
func (c *Config) Warnings() Problems { return c.warnings }

// checkRequired adds a problem if value is empty, and reports whether value is set.
func (r *checker) checkRequired(key, value, remedy string) bool {
	if value == "" {
		r.add(key, remedy, "missing")
	}
	return value != ""
}

func (r *checker) checkName(key, value string) {
	if r.checkRequired(key, value, "give a name") && !pki.ValidName(value) {
		r.add(key, "use at most 63 letters, digits, dots, hyphens and underscores", "name %q cannot be used in a certificate", value)
	}
}

func (r *checker) checkVM(c *Config) {
	r.checkName("vm.name", string(c.VM.Name))
	r.checkRequired("vm.failure_domain", string(c.VM.FailureDomain), "name the failure domain of this VM")
	_, isReplica := c.OwnReplica()
	switch {
	case isReplica && c.VM.DataDir == "":
		r.add("vm.data_dir", "give a folder on a disk, or take the VM out of [[control.replicas]]",
			"missing, but %q is a control replica", c.VM.Name)
	case !isReplica && c.VM.DataDir != "":
		r.add("vm.data_dir", "remove it, or add the VM to [[control.replicas]] on all VMs",
			"set, but %q is not a control replica", c.VM.Name)
	}
}

// checkAddress checks that value is IP:port with a port other than zero. Host names are not accepted, because resolving
// them would make each start and reconnection depend on a name service.
func (r *checker) checkAddress(key, value string) (netip.AddrPort, bool) {
	const remedy = `write an IP address and a port, such as "10.0.0.1:9001"`
	if !r.checkRequired(key, value, remedy) {
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		r.add(key, remedy, "%q is not an IP address with a port", value)
		return netip.AddrPort{}, false
	}
	if addr.Port() == 0 {
		r.add(key, remedy, "%q has port 0", value)
		return netip.AddrPort{}, false
	}
	return addr, true
}

func (r *checker) checkListen(l Listen) {
	var seen []listenAddress
	for _, item := range []struct {
		key, value string
		dialled    bool // other processes connect to the address as it is written here
	}{
		{"listen.http", l.HTTP, true},
		{"listen.internal", l.Internal, true},
		{"listen.metrics", l.Metrics, false},
	} {
		addr, ok := r.checkAddress(item.key, item.value)
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
		seen = append(seen, listenAddress{key: item.key, addr: addr})
	}
}

// overlap reports whether two listeners would use the same port of the same IP address.
func overlap(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (r *checker) checkTLS(t TLS) {
	r.checkRequired("tls.ca", t.CA, "give the ca.pem of filbertledge keys init")
	r.checkRequired("tls.cert", t.Cert, "give the certificate of filbertledge keys issue")
	r.checkRequired("tls.key", t.Key, "give the key of filbertledge keys issue")
}

func (r *checker) checkReplicas(c *Config) {
	const key = "control.replicas"
	list := c.Control.Replicas
	if len(list) == 0 {
		r.add(key, "list the same 3 or 5 replicas on all VMs", "missing")
		return
	}
	names, addresses := map[api.VMID]int{}, map[string]int{}
	for i, replica := range list {
		entryKey := fmt.Sprintf("%s[%d]", key, i)
		r.checkName(entryKey+".name", string(replica.Name))
		r.checkAddress(entryKey+".address", replica.Address)
		r.checkRequired(entryKey+".failure_domain", string(replica.FailureDomain), "name the failure domain of the replica")
		if firstIndex, ok := names[replica.Name]; ok {
			r.add(entryKey+".name", "list each VM once", "%q is already control.replicas[%d]", replica.Name, firstIndex)
		}
		if firstIndex, ok := addresses[replica.Address]; ok {
			r.add(entryKey+".address", "give each replica its own address", "%q is already that of control.replicas[%d]", replica.Address, firstIndex)
		}
		names[replica.Name], addresses[replica.Address] = i, i
		r.checkOwnReplica(entryKey, replica, c)
	}
	r.checkPlacement(list)
}

// checkOwnReplica checks that an entry of control.replicas is consistent with the settings of this VM.
func (r *checker) checkOwnReplica(entryKey string, replica Replica, c *Config) {
	if replica.Name != c.VM.Name {
		if replica.Address == c.Listen.Internal {
			r.add(entryKey+".name", "correct vm.name or the replica's address", "%q has this VM's address %s, but this VM is %q",
				replica.Name, replica.Address, c.VM.Name)
		}
		return
	}
	if replica.Address != c.Listen.Internal {
		r.add(entryKey+".address", "make both equal", "%q is not listen.internal %q of this VM", replica.Address, c.Listen.Internal)
	}
	if replica.FailureDomain != c.VM.FailureDomain {
		r.add(entryKey+".failure_domain", "make both equal", "%q is not vm.failure_domain %q", replica.FailureDomain, c.VM.FailureDomain)
	}
}

// checkPlacement checks the number of replicas, and that no failure domain contains a majority of them. A single
// replica is accepted with a warning, for test deployments.
func (r *checker) checkPlacement(list []Replica) {
	const key = "control.replicas"
	if len(list)%2 == 0 {
		r.add(key, "use an odd number: an even number tolerates no more failures than one replica fewer", "%d replicas are an even number", len(list))
	}
	if len(list) > maxReplicas {
		r.add(key, "use 3, 5 or 7", "%d replicas are more than %d", len(list), maxReplicas)
	}
	if len(list) == 1 {
		r.warn(key, "use 3 or 5 replicas in three or more failure domains, except in test deployments",
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

func (r *checker) checkPools(list []Pool) {
	seen := map[api.Pool]int{}
	for i, p := range list {
		entryKey := fmt.Sprintf("pools[%d]", i)
		r.checkName(entryKey+".name", string(p.Name))
		if firstIndex, ok := seen[p.Name]; ok {
			r.add(entryKey+".name", "list each pool once", "%q is already pools[%d]", p.Name, firstIndex)
		}
		seen[p.Name] = i
		const remedy = "create token and digest with filbertledge keys token"
		if r.checkRequired(entryKey+".token_sha256", p.TokenSHA256, remedy) && !pki.ValidDigest(p.TokenSHA256) {
			// The message does not quote the value, because it could be the token itself.
			r.add(entryKey+".token_sha256", remedy, "is not a SHA-256 digest in lower-case hexadecimal")
		}
	}
}

func (r *checker) checkWeights(w Weights) {
	if w.Rate <= 0 {
		r.add("weights.rate", "give the bytes per second that the weight store allows", "rate is %s", w.Rate)
	}
	if w.Store == "" {
		return
	}
	u, err := url.Parse(w.Store)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		r.add("weights.store", `write a URL such as "http://10.0.0.9:6001"`, "%q is not an HTTP URL", w.Store)
	}
}

func (r *checker) checkLimits(l Limits) {
	checkRange(r, "limits.body", l.Body, minSize, maxBody)
	checkRange(r, "limits.header", l.Header, minSize, maxHeader)
	checkRange(r, "limits.caller_memory", l.CallerMemory, minCallerMemory, maxCallerMemory)
	checkRange(r, "limits.stored_answer", l.StoredAnswer, minSize, maxStoredAnswer)
	checkRange(r, "limits.drain", l.Drain, minDrain, maxDrain)
	checkRange(r, "limits.read_timeout", l.ReadTimeout, minReadTimeout, maxReadTimeout)
	checkRange(r, "limits.idle_timeout", l.IdleTimeout, minIdleTimeout, maxIdleTimeout)
}

// valueWithUnit is a Size or a Duration.
type valueWithUnit interface {
	~int64
	fmt.Stringer
}

// checkRange adds a problem unless v is in the range from low to high.
func checkRange[T valueWithUnit](r *checker, key string, value, low, high T) {
	if value < low || value > high {
		r.add(key, fmt.Sprintf("use a value from %s to %s", low, high), "%s is out of range", value)
	}
}
