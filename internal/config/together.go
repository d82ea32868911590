package config

import (
	"fmt"
	"net/netip"
	"slices"

	"filbertledge/internal/api"
)

// CheckDeployment compares the settings of VMs of one deployment: names and addresses must differ, and the list
// of control replicas must be the same. It does not repeat the checks of single files.
func CheckDeployment(list []*Config) Problems {
	r := &report{}
	names := map[api.VMID]string{}
	var seen []listener
	for _, c := range list {
		r.file = c.File
		if first, ok := names[c.VM.Name]; ok && c.VM.Name != "" {
			r.add("vm.name", "give each VM its own name", "%q is also the VM of %s", c.VM.Name, first)
		}
		names[c.VM.Name] = c.File
		if !slices.Equal(c.Control.Replicas, list[0].Control.Replicas) {
			r.add("control.replicas", "list the same replicas in the same order on all VMs", "differs from %s", list[0].File)
		}
		own := listeners(c)
		r.sharedAddresses(own, seen)
		seen = append(seen, own...)
	}
	return r.problems
}

// listener is one listening address of a VM. Addresses that cannot be read are left out; Check reports them.
type listener struct {
	key  string
	addr netip.AddrPort
	file string
	host string // internal IP address of the VM
}

func listeners(c *Config) []listener {
	var out []listener
	for _, item := range []struct{ key, value string }{
		{"listen.http", c.Listen.HTTP}, {"listen.internal", c.Listen.Internal}, {"listen.metrics", c.Listen.Metrics},
	} {
		if addr, err := netip.ParseAddrPort(item.value); err == nil {
			out = append(out, listener{item.key, addr, c.File, c.InternalIP().String()})
		}
	}
	return out
}

// sharedAddresses reports addresses that two VMs use. Unspecified addresses, and loopback addresses of VMs with
// different internal IP addresses, are each VM's own.
func (r *report) sharedAddresses(own, seen []listener) {
	for _, l := range own {
		for _, other := range seen {
			local := l.addr.Addr().IsUnspecified() || l.addr.Addr().IsLoopback() && l.host != other.host
			if l.addr == other.addr && !local {
				r.add(l.key, "give each VM its own addresses", "%s is also %s", l.addr, fmt.Sprintf("%s of %s", other.key, other.file))
			}
		}
	}
}
