package pki

import (
	"crypto"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"time"

	"filbertledge/internal/errs"
)

// ExpiryWarningPeriod is the remaining lifetime below which Check warns that a certificate expires soon.
const ExpiryWarningPeriod = 14 * 24 * time.Hour

// Finding is one problem reported by Check. If Warning is false, the TLS material cannot be used.
type Finding struct {
	File    string `json:"file"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
	Warning bool   `json:"warning"`
}

// String formats the finding as one line.
func (f Finding) String() string {
	level := "error"
	if f.Warning {
		level = "warning"
	}
	return fmt.Sprintf("%s: %s: %s; %s", level, f.File, f.Problem, f.Remedy)
}

// Expectations describes the holder for whom the TLS material must be valid. Empty fields are not checked.
type Expectations struct {
	Name string
	Role Role
	IPs  []net.IP
	Now  time.Time // time at which the material must be valid; zero means the current time
}

// Check reports all problems of the TLS material in files: expired certificates, a wrong role, CA, name or address, a
// key that does not match the certificate, and file modes that give other users access to the key.
func Check(files Files, expect Expectations) []Finding {
	c := checker{files: files, expect: expect}
	if c.expect.Now.IsZero() {
		c.expect.Now = time.Now()
	}
	c.run()
	return c.findings
}

// checker collects the findings of one call of Check.
type checker struct {
	files    Files
	expect   Expectations
	findings []Finding
}

func (c *checker) add(file, remedy, format string, args ...any) {
	c.findings = append(c.findings, Finding{File: file, Problem: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (c *checker) warn(file, remedy, format string, args ...any) {
	c.add(file, remedy, format, args...)
	c.findings[len(c.findings)-1].Warning = true
}

// reportError adds a finding if err is not nil, and reports whether it did.
func (c *checker) reportError(file string, err error) bool {
	if err != nil {
		c.add(file, "create it with filbertledge keys", "%v", err)
	}
	return err != nil
}

func (c *checker) run() {
	bundle, err := readCertificates(c.files.CA)
	caUsable := !c.reportError(c.files.CA, err)
	if caUsable {
		c.checkCA(bundle)
	}
	chain, err := readCertificates(c.files.Cert)
	certUsable := !c.reportError(c.files.Cert, err)
	if certUsable {
		c.checkExpiry(c.files.Cert, chain[0])
		c.checkHolder(chain[0])
	}
	if certUsable && caUsable {
		c.checkChain(bundle, chain)
	}
	c.checkMode(c.files.Key)
	key, err := readKey(c.files.Key)
	if !c.reportError(c.files.Key, err) && certUsable {
		if err := checkKeyPair(c.files, chain[0], key); err != nil {
			c.add(c.files.Key, "issue both again with filbertledge keys rotate", "does not belong to %s", c.files.Cert)
		}
	}
}

func (c *checker) checkCA(bundle []*x509.Certificate) {
	for _, cert := range bundle {
		if !cert.IsCA {
			c.add(c.files.CA, "give the ca.pem of filbertledge keys init", "certificate of %q is not a CA", cert.Subject.CommonName)
		}
		c.checkExpiry(c.files.CA, cert)
	}
}

func (c *checker) checkExpiry(file string, cert *x509.Certificate) {
	remaining := cert.NotAfter.Sub(c.expect.Now)
	const remedy = "reissue it with filbertledge keys rotate"
	switch {
	case remaining <= 0:
		c.add(file, remedy, "expired at %s", cert.NotAfter.Format(time.RFC3339))
	case c.expect.Now.Before(cert.NotBefore):
		c.add(file, "correct the clock of this VM or of the issuer", "not valid before %s", cert.NotBefore.Format(time.RFC3339))
	case remaining < ExpiryWarningPeriod:
		c.warn(file, remedy, "expires at %s", cert.NotAfter.Format(time.RFC3339))
	}
}

func (c *checker) checkHolder(cert *x509.Certificate) {
	identity, err := CertificateIdentity(cert)
	if err != nil {
		c.add(c.files.Cert, "reissue it with filbertledge keys issue", "%v", err)
		return
	}
	if c.expect.Role != 0 && identity.Role != c.expect.Role {
		c.add(c.files.Cert, "use a certificate issued with --role "+c.expect.Role.String(),
			"has the role %s, not %s", identity.Role, c.expect.Role)
	}
	if c.expect.Name != "" && identity.Name != c.expect.Name {
		c.add(c.files.Cert, "use the certificate issued for "+c.expect.Name, "is for %q, not %q", identity.Name, c.expect.Name)
	}
	for _, ip := range c.expect.IPs {
		if cert.VerifyHostname(ip.String()) != nil {
			c.add(c.files.Cert, "reissue it with --ip "+ip.String(), "does not name the address %s", ip)
		}
	}
}

func (c *checker) checkChain(bundle, chain []*x509.Certificate) {
	// checkExpiry reports expired certificates. The chain is verified at a time before expiry, so that an expired
	// certificate is not also reported as issued by the wrong CA.
	options := x509.VerifyOptions{
		Roots: certPool(bundle), Intermediates: certPool(chain[1:]), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
		CurrentTime: chain[0].NotAfter.Add(-time.Second),
	}
	if _, err := chain[0].Verify(options); err != nil {
		c.add(c.files.Cert, "use the ca.pem of the authority that issued it", "was not issued by a CA in %s", c.files.CA)
	}
}

func (c *checker) checkMode(path string) {
	info, err := os.Stat(path)
	if err != nil {
		return // run reports the error when it reads the key
	}
	if info.Mode().Perm()&0o077 != 0 {
		c.add(path, "run chmod 600 on it", "mode %04o lets others use the key", info.Mode().Perm())
	}
}

// checkKeyPair returns an error unless key is the private key of cert.
func checkKeyPair(files Files, cert *x509.Certificate, key crypto.Signer) error {
	public, ok := cert.PublicKey.(interface{ Equal(crypto.PublicKey) bool })
	if ok && public.Equal(key.Public()) {
		return nil
	}
	return errs.New(errs.ConfigInvalid, "give the key that was issued with the certificate", "%s does not belong to %s", files.Key, files.Cert)
}
