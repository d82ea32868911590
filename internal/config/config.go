// Package config reads, checks and writes the settings of VMs. Each VM has one TOML file; docs/SETTINGS.md describes
// every key. Workloads are not part of the settings: they are rows of the table.
package config

import (
	"net"
	"net/netip"
	"path/filepath"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/pki"
)

// Config holds the settings of one VM. Its paths are absolute or relative to the working directory, because Load and
// Read resolve relative paths against the folder of the settings file.
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

	readProblems Problems // problems found by Read
	warnings     Problems // warnings of the last call of Check
}

// VM is the section [vm].
type VM struct {
	Name          api.VMID
	FailureDomain api.FailureDomain
	DataDir       string // empty unless the VM has a control replica
}

// Listen is the section [listen]. All addresses are IP:port.
type Listen struct {
	HTTP     string // for callers, trainers, backend servers and readiness probes
	Internal string // QUIC, for other VMs and operators
	Metrics  string
}

// TLS is the section [tls]. The values are paths of PEM files.
type TLS struct {
	CA   string
	Cert string
	Key  string
}

// Files returns the paths in the form that pki.NewTLSSource takes.
func (t TLS) Files() pki.Files { return pki.Files{CA: t.CA, Cert: t.Cert, Key: t.Key} }

// Control is the section [control]. It must be the same on all VMs of a deployment.
type Control struct {
	Replicas []Replica
}

// Replica is a VM that holds a control replica.
type Replica struct {
	Name          api.VMID
	Address       string // listen.internal of that VM
	FailureDomain api.FailureDomain
}

// Pool is a pool of backend servers that may announce themselves to the VMs with a common token.
type Pool struct {
	Name        api.Pool
	TokenSHA256 string // SHA-256 digest of that token in lower-case hexadecimal
}

// Weights is the section [weights].
type Weights struct {
	Store string // URL of the weight store; empty if there is none
	Rate  Size   // bytes per second that the whole deployment may read from the store
}

// Limits is the section [limits].
type Limits struct {
	Body         Size     // body of an HTTP request
	Header       Size     // all headers of an HTTP request together
	CallerMemory Size     // memory that HTTP connections may hold together
	StoredAnswer Size     // response to a non-idempotent call that is stored in case the caller resends the call
	Drain        Duration // wait for running requests during a graceful shutdown
	ReadTimeout  Duration // time for a complete HTTP request to arrive
	IdleTimeout  Duration // time without a request after which an HTTP connection is closed
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
	DefaultCallerMemory = 1024 * MiB
	DefaultStoredAnswer = 256 * KiB
	DefaultDrain        = Duration(10 * time.Minute)
	DefaultReadTimeout  = Duration(30 * time.Second)
	DefaultIdleTimeout  = Duration(2 * time.Minute)
	DefaultLevel        = "info"
)

// OwnReplica returns the entry of this VM in the list of control replicas, and whether there is one.
func (c *Config) OwnReplica() (Replica, bool) {
	for _, r := range c.Control.Replicas {
		if r.Name == c.VM.Name {
			return r, true
		}
	}
	return Replica{}, false
}

// PoolTokenDigest returns the digest of the token of a pool, and whether the pool exists.
func (c *Config) PoolTokenDigest(name api.Pool) (digest string, ok bool) {
	for _, p := range c.Pools {
		if p.Name == name {
			return p.TokenSHA256, true
		}
	}
	return "", false
}

// InternalIP returns the IP address that other VMs dial, or nil if listen.internal is malformed. The certificate of the
// VM must be valid for it.
func (c *Config) InternalIP() net.IP {
	addr, err := netip.ParseAddrPort(c.Listen.Internal)
	if err != nil {
		return nil
	}
	return addr.Addr().AsSlice()
}

// Load reads and checks the settings file at path. The error lists all problems.
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

// resolvePath joins a relative path to dir. An empty or absolute path is returned unchanged.
func resolvePath(dir, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
}
