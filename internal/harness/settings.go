package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"github.com/pelletier/go-toml/v2"
)

// settings mirrors the TOML settings file of an entry VM.
type settings struct {
	VM      vmSettings      `toml:"vm"`
	Listen  listenSettings  `toml:"listen"`
	TLS     tlsSettings     `toml:"tls"`
	Control controlSettings `toml:"control"`
	Pools   []poolSettings  `toml:"pools"`
	Weights weightSettings  `toml:"weights"`
	Limits  limitSettings   `toml:"limits"`
	Log     logSettings     `toml:"log"`
}

type limitSettings struct {
	CallerMemory string `toml:"caller_memory,omitempty"`
}

type vmSettings struct {
	Name          string `toml:"name"`
	FailureDomain string `toml:"failure_domain"`
	DataDir       string `toml:"data_dir,omitempty"`
}

type listenSettings struct {
	HTTP     string `toml:"http"`
	Internal string `toml:"internal"`
	Metrics  string `toml:"metrics"`
}

type tlsSettings struct {
	CA   string `toml:"ca"`
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

type controlSettings struct {
	Replicas []replicaSettings `toml:"replicas"`
}

type replicaSettings struct {
	Name          string `toml:"name"`
	Address       string `toml:"address"`
	FailureDomain string `toml:"failure_domain"`
}

type poolSettings struct {
	Name        string `toml:"name"`
	TokenSHA256 string `toml:"token_sha256"`
}

type weightSettings struct {
	Store string `toml:"store"`
	Rate  string `toml:"rate"`
}

type logSettings struct {
	Level string `toml:"level"`
}

// Ports are chosen below the ephemeral range of Linux (from 32768 by default). Otherwise an outgoing connection could
// take a port between its choice here and the start of the server.
const (
	firstPort    = 10_000
	portCount    = 20_000
	portAttempts = 1000
)

// freeAddresses returns n different loopback addresses whose ports are free for TCP and UDP.
func freeAddresses(n int) ([]string, error) {
	var out []string
	seen := map[int]bool{}
	for range portAttempts {
		if len(out) == n {
			return out, nil
		}
		port := firstPort + rand.IntN(portCount)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if !seen[port] && isPortFree(address) {
			out = append(out, address)
		}
		seen[port] = true
	}
	return nil, fmt.Errorf("found %d free ports, need %d", len(out), n)
}

func isPortFree(address string) bool {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	defer l.Close()
	p, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	defer p.Close()
	return true
}

// keysDir is the folder, below the deployment's folder, in which `filbertledge keys` writes keys and certificates.
const keysDir = "keys"

func certPaths(name string) tlsSettings {
	return tlsSettings{
		CA:   filepath.Join(keysDir, "ca.pem"),
		Cert: filepath.Join(keysDir, name+".pem"),
		Key:  filepath.Join(keysDir, name+"-key.pem"),
	}
}

func (d *Deployment) writeSettings(vm *VM) error {
	s := settings{
		VM:      vmSettings{Name: vm.Name, FailureDomain: vm.Domain},
		Listen:  listenSettings{HTTP: vm.HTTP, Internal: vm.Internal, Metrics: vm.Metrics},
		TLS:     certPaths(vm.Name),
		Weights: weightSettings{Store: "http://" + d.Store.Address, Rate: "100MiB"},
		Limits:  limitSettings{CallerMemory: d.opts.CallerMemory},
		Log:     logSettings{Level: "info"},
	}
	if vm.Replica {
		s.VM.DataDir = "data-" + vm.Name
	}
	for _, v := range d.VMs {
		if v.Replica {
			s.Control.Replicas = append(s.Control.Replicas, replicaSettings{Name: v.Name, Address: v.Internal, FailureDomain: v.Domain})
		}
	}
	for _, pool := range d.Layout.Pools() {
		s.Pools = append(s.Pools, poolSettings{Name: pool, TokenSHA256: tokenDigest(Token(pool))})
	}
	b, err := toml.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode the settings of %s: %w", vm.Name, err)
	}
	return os.WriteFile(d.settingsPath(vm), b, 0o600)
}

func (d *Deployment) settingsPath(vm *VM) string { return filepath.Join(d.Dir, vm.Name+".toml") }
