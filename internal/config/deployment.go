package config

import (
	"fmt"
	"net/netip"
	"slices"

	"filbertledge/internal/api"
)

// CheckDeployment compares the settings of the VMs of one deployment: names and listening addresses must be different,
// and the lists of control replicas must be equal. It does not repeat the checks of single files, see Config.Check.
func CheckDeployment(list []*Config) Problems {
	r := &checker{}
	names := map[api.VMID]string{}
	var seen []listenAddress
	for _, c := range list {
		r.file = c.File
		if firstFile, ok := names[c.VM.Name]; ok && c.VM.Name != "" {
			r.add("vm.name", "give each VM its own name", "%q is also the VM of %s", c.VM.Name, firstFile)
		}
		names[c.VM.Name] = c.File
		if !slices.Equal(c.Control.Replicas, list[0].Control.Replicas) {
			r.add("control.replicas", "list the same replicas in the same order on all VMs", "differs from %s", list[0].File)
		}
		own := listenAddresses(c)
		r.checkSharedAddresses(own, seen)
		seen = append(seen, own...)
	}
	return r.problems
}

// listenAddress is one of the addresses on which a VM listens.
type listenAddress struct {
	key        string
	addr       netip.AddrPort
	file       string
	internalIP string // IP address of the VM in listen.internal
}

// listenAddresses returns the addresses on which a VM listens. It skips malformed addresses, which Config.Check
// reports.
func listenAddresses(c *Config) []listenAddress {
	var out []listenAddress
	for _, item := range []struct{ key, value string }{
		{"listen.http", c.Listen.HTTP}, {"listen.internal", c.Listen.Internal}, {"listen.metrics", c.Listen.Metrics},
	} {
		if addr, err := netip.ParseAddrPort(item.value); err == nil {
			out = append(out, listenAddress{item.key, addr, c.File, c.InternalIP().String()})
		}
	}
	return out
}

// checkSharedAddresses adds a problem for each address that two VMs use. VMs with different internal IP addresses are
// taken to run on different machines, so they may use the same loopback address. Unspecified addresses such as 0.0.0.0
// are never reported.
func (r *checker) checkSharedAddresses(own, seen []listenAddress) {
	for _, l := range own {
		for _, other := range seen {
			mayShare := l.addr.Addr().IsUnspecified() || l.addr.Addr().IsLoopback() && l.internalIP != other.internalIP
			if l.addr == other.addr && !mayShare {
				r.add(l.key, "give each VM its own addresses", "%s is also %s", l.addr, fmt.Sprintf("%s of %s", other.key, other.file))
			}
		}
	}
}
