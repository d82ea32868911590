package pki

import (
	"crypto/x509"
	"path/filepath"
	"strings"
	"time"

	"filbertledge/internal/errs"
)

// Rotate reissues the certificate of name with a new key and the same role and addresses. Running processes load the
// new files without a restart.
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

// Names returns the names of all holders whose keys are in the authority's folder, sorted.
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

// RotateCA adds a new root certificate, which signs all certificates issued from then on. The CA file keeps the old
// roots, so that certificates issued by old and new roots are accepted until all VMs and operators have the new CA file
// and new certificates. DropOldCAs then removes the old roots.
func (a *Authority) RotateCA(deployment string) error {
	if err := a.addRoot(deployment); err != nil {
		return err
	}
	return a.save()
}

// DropOldCAs removes all root certificates except the newest one. It fails if a certificate in the folder was issued by
// an older root.
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
		options := x509.VerifyOptions{Roots: certPool(newest), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
		if _, err := chain[0].Verify(options); err != nil {
			return errs.Wrap(err, errs.Conflict, "rotate it first with filbertledge keys rotate "+name,
				"certificate of %q was issued by an old root", name)
		}
	}
	a.bundle = newest
	return a.save()
}
