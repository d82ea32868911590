// Package config reads and checks the settings of one VM. The settings are a TOML file; docs/SETTINGS.md
// describes every key. Workloads are not settings: they are rows of the table.
package config

import (
	"net"
	"net/netip"
	"path/filepath"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/pki"
)

// Config is the settings of one VM. Paths are absolute or relative to the working directory: Load has
// resolved them against the settings file.
type Config struct {
	File    string // path of the settings file
	VM      VM
	Listen  Listen
	TLS     TLS
	Control Control
	Pools   []Pool
	Weights Weights
	Limits  Limits
	Log     Log

	found    Problems // problems found while reading
	warnings Problems
}

// VM is the section [vm].
type VM struct {
	Name          api.VMID
	FailureDomain api.FailureDomain
	DataDir       string // empty unless the VM has a control replica
}

// Listen is the section [listen]. All addresses are IP:port.
type Listen struct {
	HTTP     string // callers, trainers, backend servers, readiness
	Internal string // QUIC between VMs and from operators
	Metrics  string
}

// TLS is the section [tls]: paths of PEM files.
type TLS struct {
	CA   string
	Cert string
	Key  string
}

// Files returns the paths for pki.NewSource.
func (t TLS) Files() pki.Files { return pki.Files{CA: t.CA, Cert: t.Cert, Key: t.Key} }

// Control is the section [control]. It is the same on all VMs.
type Control struct {
	Replicas []Replica
}

// Replica is a VM that holds a control replica.
type Replica struct {
	Name          api.VMID
	Address       string // its [listen] internal
	FailureDomain api.FailureDomain
}

// Pool is a set of backend servers that may announce themselves.
type Pool struct {
	Name        api.Pool
	TokenSHA256 string // lower-case hexadecimal digest of the servers' token
}

// Weights is the section [weights].
type Weights struct {
	Store string // URL of the weight store; empty if there is none
	Rate  Size   // bytes a second that this deployment may take from the store
}

// Limits is the section [limits].
type Limits struct {
	Body         Size // of an HTTP request
	Header       Size // of an HTTP request, all headers together
	StoredAnswer Size // of a non-idempotent call, kept for resends
	Drain        Duration
	ReadTimeout  Duration // for the whole of an HTTP request to arrive
	IdleTimeout  Duration // of an HTTP connection between requests
}

// Log is the section [log].
type Log struct {
	Level string // debug, info, warn or error
}

// Defaults of optional keys.
const (
	DefaultRate         = 100 * MiB
	DefaultBody         = 4 * MiB
	DefaultHeader       = 16 * KiB
	DefaultStoredAnswer = 256 * KiB
	DefaultDrain        = Duration(10 * time.Minute)
	DefaultReadTimeout  = Duration(30 * time.Second)
	DefaultIdleTimeout  = Duration(2 * time.Minute)
	DefaultLevel        = "info"
)

// OwnReplica returns the entry of this VM in the list of control replicas.
func (c *Config) OwnReplica() (Replica, bool) {
	for _, r := range c.Control.Replicas {
		if r.Name == c.VM.Name {
			return r, true
		}
	}
	return Replica{}, false
}

// PoolTokenDigest returns the token digest of a pool.
func (c *Config) PoolTokenDigest(name api.Pool) (digest string, ok bool) {
	for _, p := range c.Pools {
		if p.Name == name {
			return p.TokenSHA256, true
		}
	}
	return "", false
}

// InternalIP returns the IP address that other VMs dial, which the VM's certificate must name.
func (c *Config) InternalIP() net.IP {
	addr, err := netip.ParseAddrPort(c.Listen.Internal)
	if err != nil {
		return nil
	}
	return addr.Addr().AsSlice()
}

// Load reads the settings file at path and checks it. The error lists all problems.
func Load(path string) (*Config, error) {
	c, err := Read(path)
	if err != nil {
		return nil, err
	}
	if err := c.Check(); err != nil {
		return nil, err
	}
	return c, nil
}

func resolve(dir, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
}
