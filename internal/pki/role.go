// Package pki creates, rotates and checks the TLS material of a deployment: one certificate authority, one
// certificate for each VM and one for each operator. The subject of a certificate holds the name (CN) and the
// role (OU) of its holder.
package pki

import (
	"crypto/tls"
	"crypto/x509"
	"strings"
	"time"

	"filbertledge/internal/errs"
)

// Role is what the holder of a certificate may do. It is a set, so that a method can be allowed for several
// roles; a certificate has exactly one.
type Role uint8

// Roles.
const (
	RoleVM Role = 1 << iota
	RoleOperator

	RoleAny = RoleVM | RoleOperator
)

// Names of the roles in the organizational unit of a certificate's subject.
const (
	roleNameVM       = "vm"
	roleNameOperator = "operator"
)

// String returns the name of the role; a set is joined by "|".
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

// Allows reports whether the set r holds the single role other.
func (r Role) Allows(other Role) bool { return other != 0 && r&other == other }

// ParseRole returns the role with that name.
func ParseRole(name string) (Role, error) {
	switch name {
	case roleNameVM:
		return RoleVM, nil
	case roleNameOperator:
		return RoleOperator, nil
	}
	return 0, errs.New(errs.InvalidArgument, "use vm or operator", "role %q does not exist", name)
}

// Identity is what a certificate says about its holder.
type Identity struct {
	Name     string
	Role     Role
	NotAfter time.Time
}

// CertificateIdentity reads the identity from the subject of a certificate. It does not check the chain.
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

// PeerIdentity returns the identity of the peer of a connection whose handshake is complete.
func PeerIdentity(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, errs.New(errs.Unauthenticated, "use a certificate of the deployment's CA", "peer has no certificate")
	}
	return CertificateIdentity(state.PeerCertificates[0])
}
