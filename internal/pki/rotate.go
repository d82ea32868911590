package pki

import (
	"crypto/x509"
	"path/filepath"
	"strings"
	"time"

	"filbertledge/internal/errs"
)

// Rotate reissues the certificate of name with a new key, the same role and the same addresses. Processes that
// use the files load them without a restart.
func (a *Authority) Rotate(name string, lifetime time.Duration) (Files, error) {
	chain, err := readCertificates(LeafFiles(a.dir, name).Cert)
	if err != nil {
		return Files{}, err
	}
	identity, err := CertificateIdentity(chain[0])
	if err != nil {
		return Files{}, err
	}
	return a.Issue(Request{Name: identity.Name, Role: identity.Role, IPs: chain[0].IPAddresses, Lifetime: lifetime})
}

// Names returns the names of all certificates in the authority's folder, in order.
func (a *Authority) Names() ([]string, error) {
	paths, err := filepath.Glob(filepath.Join(a.dir, "*-key.pem"))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "", "cannot list %s", a.dir)
	}
	var names []string
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), "-key.pem")
		if name != "ca" {
			names = append(names, name)
		}
	}
	return names, nil
}

// RotateCA adds a new root that signs from now on. The old roots stay in the CA file, so that both old and new
// certificates are accepted until all VMs and operators have the new CA file and new certificates; DropOldCAs
// then removes them.
func (a *Authority) RotateCA(deployment string) error {
	if err := a.newRoot(deployment); err != nil {
		return err
	}
	return a.save()
}

// DropOldCAs removes all roots but the one that signs. It refuses while a certificate in the folder was issued
// by an older root.
func (a *Authority) DropOldCAs() error {
	names, err := a.Names()
	if err != nil {
		return err
	}
	newest := a.bundle[:1]
	for _, name := range names {
		chain, err := readCertificates(LeafFiles(a.dir, name).Cert)
		if err != nil {
			return err
		}
		options := x509.VerifyOptions{Roots: pool(newest), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
		if _, err := chain[0].Verify(options); err != nil {
			return errs.Wrap(err, errs.Conflict, "rotate it first with filbertledge keys rotate "+name,
				"certificate of %q was issued by an old root", name)
		}
	}
	a.bundle = newest
	return a.save()
}
