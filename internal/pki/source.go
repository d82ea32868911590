package pki

import (
	"context"
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"filbertledge/internal/errs"
)

// PollInterval is how often Run looks for changed files.
const PollInterval = 5 * time.Second

// TLSSourceOptions are the callbacks of a Source. All are optional and must not block.
type TLSSourceOptions struct {
	// OnReload is called after changed files were loaded.
	OnReload func(Identity)
	// OnError is called when changed files cannot be used; the Source keeps the material that it has.
	OnError func(error)
	// OnRefused is called when a peer's certificate is refused. The error holds no secret.
	OnRefused func(address string, err error)
}

// TLSSource holds the TLS material of a process and reloads it when its files change. It looks at their
// modification times at each handshake and, if Run is running, every PollInterval. Open connections keep the
// material of their handshake.
type TLSSource struct {
	files   Files
	options TLSSourceOptions

	mu       sync.Mutex
	stamp    [3]fileStamp
	rejected [3]fileStamp // state of the files that could not be used; it is reported once
	material *material

	generation atomic.Uint64
}

type fileStamp struct {
	modified time.Time
	size     int64
}

// material is one consistent state of the files. It is never changed after it was built.
type material struct {
	identity    Identity
	certificate tls.Certificate
	roots       *x509.CertPool
}

// NewTLSSource loads files and checks that they belong together.
func NewTLSSource(files Files, options TLSSourceOptions) (*TLSSource, error) {
	s := &TLSSource{files: files, options: options}
	stamp, err := s.stat()
	if err != nil {
		return nil, err
	}
	m, err := load(files)
	if err != nil {
		return nil, err
	}
	s.stamp, s.material = stamp, m
	return s, nil
}

// Identity returns the identity of the current certificate.
func (s *TLSSource) Identity() Identity { return s.current().identity }

// ReloadCount grows each time that changed files are taken into use. It does not look at the files itself.
func (s *TLSSource) ReloadCount() uint64 { return s.generation.Load() }

// VerifyClient checks the certificates of an accepted connection against the material in use now.
func (s *TLSSource) VerifyClient(chain []*x509.Certificate) error {
	s.mu.Lock()
	m := s.material
	s.mu.Unlock()
	_, err := m.verify(chain, x509.ExtKeyUsageClientAuth)
	return err
}

// Run looks for changed files until ctx ends.
func (s *TLSSource) Run(ctx context.Context) {
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.current()
		}
	}
}

// DeriveKey returns 32 bytes that depend on the private key and label only, so that a restarted process gets
// the same bytes and nobody without the private key does.
func (s *TLSSource) DeriveKey(label string) ([32]byte, error) {
	var out [32]byte
	der, err := x509.MarshalPKCS8PrivateKey(s.current().certificate.PrivateKey)
	if err != nil {
		return out, errs.Wrap(err, errs.Internal, "", "cannot encode the private key")
	}
	key, err := hkdf.Key(sha256.New, der, nil, label, len(out))
	if err != nil {
		return out, errs.Wrap(err, errs.Internal, "", "cannot derive a key")
	}
	copy(out[:], key)
	return out, nil
}

// current returns the newest usable material.
func (s *TLSSource) current() *material {
	s.mu.Lock()
	defer s.mu.Unlock()
	stamp, err := s.stat()
	if err != nil {
		s.report(err)
		return s.material
	}
	if stamp == s.stamp || stamp == s.rejected {
		return s.material
	}
	m, err := load(s.files)
	if err != nil {
		s.rejected = stamp
		s.report(err)
		return s.material
	}
	s.stamp, s.material = stamp, m
	s.generation.Add(1)
	if s.options.OnReload != nil {
		s.options.OnReload(m.identity)
	}
	return m
}

func (s *TLSSource) report(err error) {
	if s.options.OnError != nil {
		s.options.OnError(err)
	}
}

func (s *TLSSource) refused(address string, err error) {
	if s.options.OnRefused != nil {
		s.options.OnRefused(address, err)
	}
}

func (s *TLSSource) stat() ([3]fileStamp, error) {
	var out [3]fileStamp
	for i, path := range []string{s.files.CA, s.files.Cert, s.files.Key} {
		info, err := os.Stat(path)
		if err != nil {
			return out, errs.Wrap(err, errs.ConfigInvalid, "create it with filbertledge keys, or correct [tls] in the settings",
				"TLS file cannot be read")
		}
		out[i] = fileStamp{info.ModTime(), info.Size()}
	}
	return out, nil
}

func load(files Files) (*material, error) {
	bundle, err := readCertificates(files.CA)
	if err != nil {
		return nil, err
	}
	chain, err := readCertificates(files.Cert)
	if err != nil {
		return nil, err
	}
	key, err := readKey(files.Key)
	if err != nil {
		return nil, err
	}
	m := &material{roots: pool(bundle), certificate: tls.Certificate{PrivateKey: key, Leaf: chain[0]}}
	for _, cert := range chain {
		m.certificate.Certificate = append(m.certificate.Certificate, cert.Raw)
	}
	if m.identity, err = CertificateIdentity(chain[0]); err != nil {
		return nil, err
	}
	return m, checkPair(files, chain[0], key)
}

func pool(list []*x509.Certificate) *x509.CertPool {
	out := x509.NewCertPool()
	for _, cert := range list {
		out.AddCert(cert)
	}
	return out
}

// verify checks the chain of a peer against the current roots. usage is what the peer does on this connection.
func (m *material) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage) (Identity, error) {
	if len(chain) == 0 {
		return Identity{}, errs.New(errs.Unauthenticated, "use a certificate of the deployment's CA", "peer has no certificate")
	}
	options := x509.VerifyOptions{Roots: m.roots, Intermediates: pool(chain[1:]), KeyUsages: []x509.ExtKeyUsage{usage}}
	if _, err := chain[0].Verify(options); err != nil {
		return Identity{}, errs.Wrap(err, errs.Unauthenticated, "use an unexpired certificate of the deployment's CA",
			"certificate of %q is refused", chain[0].Subject.CommonName)
	}
	return CertificateIdentity(chain[0])
}

// ServerTLS returns the settings of the accepting side: TLS 1.3, and a client certificate of the CA with a
// role is required. Each handshake uses the newest material.
func (s *TLSSource) ServerTLS(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			address := "unknown"
			if hello.Conn != nil {
				address = hello.Conn.RemoteAddr().String()
			}
			return s.serverTLS(address, protocols), nil
		},
	}
}

// serverTLS verifies client certificates itself instead of through ClientCAs, so that a refusal is reported.
func (s *TLSSource) serverTLS(address string, protocols []string) *tls.Config {
	m := s.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols,
		Certificates: []tls.Certificate{m.certificate},
		ClientAuth:   tls.RequireAnyClientCert,
		// A resumed session would skip the check against the newest roots.
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			_, err := m.verify(state.PeerCertificates, x509.ExtKeyUsageClientAuth)
			if err != nil {
				s.refused(address, err)
			}
			return err
		},
	}
}

// ClientTLS returns the settings of the dialling side for one connection to host, an IP address. The server's
// certificate must be of the CA, name that address and have the role vm.
func (s *TLSSource) ClientTLS(host string, protocols ...string) *tls.Config {
	m := s.current()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             protocols,
		Certificates:           []tls.Certificate{m.certificate},
		RootCAs:                m.roots,
		ServerName:             host,
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			identity, err := m.verify(state.PeerCertificates, x509.ExtKeyUsageServerAuth)
			if err == nil && identity.Role != RoleVM {
				err = errs.New(errs.PermissionDenied, "dial a VM's internal address", "server %q has the role %s", identity.Name, identity.Role)
			}
			if err != nil {
				s.refused(host, err)
			}
			return err
		},
	}
}
