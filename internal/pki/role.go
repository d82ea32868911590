// Package pki creates, rotates and checks the TLS material of a deployment: a certificate authority, and a certificate
// for each VM and each operator. The subject of a certificate contains the holder's name (common name, CN) and role
// (organizational unit, OU).
package pki

import (
	"crypto/tls"
	"crypto/x509"
	"strings"
	"time"

	"filbertledge/internal/errs"
)

// Role is a set of roles. A certificate has exactly one role, which decides what its holder may do; a transport method
// can be allowed for several.
type Role uint8

// RoleVM and RoleOperator are the roles of certificates. RoleAny is the set of both.
const (
	RoleVM Role = 1 << iota
	RoleOperator

	RoleAny = RoleVM | RoleOperator
)

// Names of the roles, as written to the organizational unit of a certificate's subject.
const (
	roleNameVM       = "vm"
	roleNameOperator = "operator"
)

// String returns the names of the roles in r, joined by "|", or "none" if r is empty.
func (r Role) String() string {
	var names []string
	if r&RoleVM != 0 {
		names = append(names, roleNameVM)
	}
	if r&RoleOperator != 0 {
		names = append(names, roleNameOperator)
	}
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, "|")
}

// Allows reports whether r contains the role other.
func (r Role) Allows(other Role) bool { return other != 0 && r&other == other }

// ParseRole returns the role called name.
func ParseRole(name string) (Role, error) {
	switch name {
	case roleNameVM:
		return RoleVM, nil
	case roleNameOperator:
		return RoleOperator, nil
	}
	return 0, errs.New(errs.InvalidArgument, "use vm or operator", "role %q does not exist", name)
}

// Identity is the information in a certificate about its holder.
type Identity struct {
	Name     string
	Role     Role
	NotAfter time.Time
}

// CertificateIdentity reads the identity from the subject of cert. It does not verify the certificate.
func CertificateIdentity(cert *x509.Certificate) (Identity, error) {
	if len(cert.Subject.OrganizationalUnit) != 1 {
		return Identity{}, errs.New(errs.Unauthenticated, "reissue it with filbertledge keys issue",
			"certificate of %q names %d roles instead of one", cert.Subject.CommonName, len(cert.Subject.OrganizationalUnit))
	}
	role, err := ParseRole(cert.Subject.OrganizationalUnit[0])
	if err != nil {
		return Identity{}, errs.Wrap(err, errs.Unauthenticated, "", "certificate of %q", cert.Subject.CommonName)
	}
	if cert.Subject.CommonName == "" {
		return Identity{}, errs.New(errs.Unauthenticated, "reissue it with filbertledge keys issue", "certificate has no name")
	}
	return Identity{Name: cert.Subject.CommonName, Role: role, NotAfter: cert.NotAfter}, nil
}

// PeerIdentity returns the identity of the peer after a completed handshake.
func PeerIdentity(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, errs.New(errs.Unauthenticated, "use a certificate of the deployment's CA", "peer has no certificate")
	}
	return CertificateIdentity(state.PeerCertificates[0])
}
