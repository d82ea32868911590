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

// PollInterval is the interval at which TLSSource.Run checks the files for changes.
const PollInterval = 5 * time.Second

// TLSSourceOptions holds the callbacks of a TLSSource. All are optional. They must not block.
type TLSSourceOptions struct {
	// OnReload is called after changed files have been loaded.
	OnReload func(Identity)
	// OnError is called if changed files cannot be used. The TLSSource keeps the material that it has loaded.
	OnError func(error)
	// OnRefused is called when a peer's certificate is refused. The error contains no secrets.
	OnRefused func(address string, err error)
}

// TLSSource holds the TLS material of a process and reloads it when the files change. It checks their modification
// times and sizes at each handshake, and also every PollInterval while Run is running. Open connections keep the
// material that was in use at their handshake.
type TLSSource struct {
	files   Files
	options TLSSourceOptions

	mu       sync.Mutex
	loaded   [3]fileState // state of the files from which material was loaded
	rejected [3]fileState // state of the files that last failed to load, so that they are neither loaded nor reported again
	material *material

	reloadCount atomic.Uint64
}

// fileState is compared to detect that a file has changed, without reading the file.
type fileState struct {
	modified time.Time
	size     int64
}

// material is TLS material loaded from one consistent state of the files. It is immutable.
type material struct {
	identity    Identity
	certificate tls.Certificate
	roots       *x509.CertPool
}

// NewTLSSource loads files. It fails if the key does not match the certificate.
func NewTLSSource(files Files, options TLSSourceOptions) (*TLSSource, error) {
	s := &TLSSource{files: files, options: options}
	state, err := s.stat()
	if err != nil {
		return nil, err
	}
	m, err := loadMaterial(files)
	if err != nil {
		return nil, err
	}
	s.loaded, s.material = state, m
	return s, nil
}

// Identity returns the identity of the current certificate.
func (s *TLSSource) Identity() Identity { return s.current().identity }

// ReloadCount returns how often changed files have been loaded. It does not check the files itself.
func (s *TLSSource) ReloadCount() uint64 { return s.reloadCount.Load() }

// VerifyClient verifies the certificate chain of a client against the material that is loaded now, without checking the
// files for changes.
func (s *TLSSource) VerifyClient(chain []*x509.Certificate) error {
	s.mu.Lock()
	m := s.material
	s.mu.Unlock()
	_, err := m.verify(chain, x509.ExtKeyUsageClientAuth)
	return err
}

// Run checks the files for changes every PollInterval until ctx ends.
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

// DeriveKey derives a key of 32 bytes from the private key and label. A restarted process with the same private key
// derives the same key; it cannot be derived without the private key.
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

// current reloads the files if they have changed, and returns the newest usable material.
func (s *TLSSource) current() *material {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, err := s.stat()
	if err != nil {
		s.reportError(err)
		return s.material
	}
	if state == s.loaded || state == s.rejected {
		return s.material
	}
	m, err := loadMaterial(s.files)
	if err != nil {
		s.rejected = state
		s.reportError(err)
		return s.material
	}
	s.loaded, s.material = state, m
	s.reloadCount.Add(1)
	if s.options.OnReload != nil {
		s.options.OnReload(m.identity)
	}
	return m
}

func (s *TLSSource) reportError(err error) {
	if s.options.OnError != nil {
		s.options.OnError(err)
	}
}

func (s *TLSSource) reportRefused(address string, err error) {
	if s.options.OnRefused != nil {
		s.options.OnRefused(address, err)
	}
}

func (s *TLSSource) stat() ([3]fileState, error) {
	var out [3]fileState
	for i, path := range []string{s.files.CA, s.files.Cert, s.files.Key} {
		info, err := os.Stat(path)
		if err != nil {
			return out, errs.Wrap(err, errs.ConfigInvalid, "create it with filbertledge keys, or correct [tls] in the settings",
				"TLS file cannot be read")
		}
		out[i] = fileState{info.ModTime(), info.Size()}
	}
	return out, nil
}

func loadMaterial(files Files) (*material, error) {
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
	m := &material{roots: certPool(bundle), certificate: tls.Certificate{PrivateKey: key, Leaf: chain[0]}}
	for _, cert := range chain {
		m.certificate.Certificate = append(m.certificate.Certificate, cert.Raw)
	}
	if m.identity, err = CertificateIdentity(chain[0]); err != nil {
		return nil, err
	}
	return m, checkKeyPair(files, chain[0], key)
}

func certPool(list []*x509.Certificate) *x509.CertPool {
	out := x509.NewCertPool()
	for _, cert := range list {
		out.AddCert(cert)
	}
	return out
}

// verify verifies the certificate chain of a peer against the roots in m. usage is the peer's side of the connection,
// client or server.
func (m *material) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage) (Identity, error) {
	if len(chain) == 0 {
		return Identity{}, errs.New(errs.Unauthenticated, "use a certificate of the deployment's CA", "peer has no certificate")
	}
	options := x509.VerifyOptions{Roots: m.roots, Intermediates: certPool(chain[1:]), KeyUsages: []x509.ExtKeyUsage{usage}}
	if _, err := chain[0].Verify(options); err != nil {
		return Identity{}, errs.Wrap(err, errs.Unauthenticated, "use an unexpired certificate of the deployment's CA",
			"certificate of %q is refused", chain[0].Subject.CommonName)
	}
	return CertificateIdentity(chain[0])
}

// ServerTLS returns the TLS configuration for servers. It requires TLS 1.3 and a client certificate with a role, issued
// by the CA. Each handshake uses the newest material.
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

// serverTLS returns the configuration for one handshake. It verifies client certificates in VerifyConnection instead of
// through ClientCAs, so that OnRefused is called for a refused certificate.
func (s *TLSSource) serverTLS(address string, protocols []string) *tls.Config {
	m := s.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols,
		Certificates: []tls.Certificate{m.certificate},
		ClientAuth:   tls.RequireAnyClientCert,
		// A resumed session would not be verified against the newest roots.
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			_, err := m.verify(state.PeerCertificates, x509.ExtKeyUsageClientAuth)
			if err != nil {
				s.reportRefused(address, err)
			}
			return err
		},
	}
}

// ClientTLS returns the TLS configuration for one connection to host, which must be an IP address. The server's
// certificate must be issued by the CA, be valid for that address and have the role vm.
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
				s.reportRefused(host, err)
			}
			return err
		},
	}
}
