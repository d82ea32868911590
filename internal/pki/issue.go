package pki

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"time"

	"filbertledge/internal/errs"
)

// File names in the folder of a certificate authority.
const (
	CAFile    = "ca.pem"
	CAKeyFile = "ca-key.pem"
)

// Default lifetimes of the certificates of CAs and of their holders (leaf certificates).
const (
	CALifetime   = 10 * 365 * 24 * time.Hour
	LeafLifetime = 90 * 24 * time.Hour
)

// clockSkew is how far the clock of a peer may be behind the clock of the issuer. Certificates become valid that much
// before they are issued.
const clockSkew = 5 * time.Minute

const (
	keyMode  os.FileMode = 0o600
	certMode os.FileMode = 0o644
	dirMode  os.FileMode = 0o700
)

const (
	pemCertificate = "CERTIFICATE"
	pemKey         = "PRIVATE KEY"
)

// namePattern matches the names that can be issued. They are used as file names, so path separators and leading dots
// are excluded.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Request describes a certificate to issue.
type Request struct {
	Name     string
	Role     Role
	IPs      []net.IP      // addresses that other VMs and operators dial; required for VMs
	Lifetime time.Duration // zero means LeafLifetime
}

// Authority is a certificate authority whose private key is available, so that it can issue certificates.
type Authority struct {
	dir    string
	bundle []*x509.Certificate // all certificates of the CA file; the first one is used for signing
	key    crypto.Signer       // private key of the first certificate in bundle
}

// LeafFiles returns the paths of the TLS material issued for name in dir.
func LeafFiles(dir, name string) Files {
	return Files{
		CA:   filepath.Join(dir, CAFile),
		Cert: filepath.Join(dir, name+".pem"),
		Key:  filepath.Join(dir, name+"-key.pem"),
	}
}

// Init creates a certificate authority in dir. It fails if dir already contains one.
func Init(dir, deployment string) (*Authority, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, errs.Wrap(err, errs.ConfigInvalid, "choose a folder that can be written", "cannot create %s", dir)
	}
	for _, file := range []string{CAFile, CAKeyFile} {
		if _, err := os.Stat(filepath.Join(dir, file)); err == nil {
			return nil, errs.New(errs.Conflict, "choose another folder, or use filbertledge keys rotate --ca to replace it",
				"%s already holds a certificate authority", dir)
		}
	}
	a := &Authority{dir: dir}
	if err := a.addRoot(deployment); err != nil {
		return nil, err
	}
	return a, a.save()
}

// addRoot creates a new key and self-signed root certificate, and makes them the ones that sign.
func (a *Authority) addRoot(deployment string) error {
	key, err := newKey()
	if err != nil {
		return err
	}
	template, err := newTemplate(CALifetime)
	if err != nil {
		return err
	}
	template.Subject = pkix.Name{CommonName: deployment + " CA"}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	cert, err := sign(template, template, key.Public(), key)
	if err != nil {
		return err
	}
	a.key = key
	a.bundle = append([]*x509.Certificate{cert}, a.bundle...)
	return nil
}

// save writes the key before the certificate, because OpenAuthority accepts a folder only if it contains the
// certificate.
func (a *Authority) save() error {
	if err := writeKey(filepath.Join(a.dir, CAKeyFile), a.key); err != nil {
		return err
	}
	return writeCertificates(filepath.Join(a.dir, CAFile), a.bundle)
}

// OpenAuthority loads the certificate authority in dir.
func OpenAuthority(dir string) (*Authority, error) {
	bundle, err := readCertificates(filepath.Join(dir, CAFile))
	if err != nil {
		return nil, err
	}
	key, err := readKey(filepath.Join(dir, CAKeyFile))
	if err != nil {
		return nil, err
	}
	public, ok := bundle[0].PublicKey.(interface{ Equal(crypto.PublicKey) bool })
	if !ok || !public.Equal(key.Public()) {
		return nil, errs.New(errs.ConfigInvalid, "restore both files from one backup",
			"%s does not belong to the first certificate of %s in %s", CAKeyFile, CAFile, dir)
	}
	return &Authority{dir: dir, bundle: bundle, key: key}, nil
}

// Issue creates a certificate and its key in the authority's folder. It replaces existing files for that name.
func (a *Authority) Issue(r Request) (Files, error) {
	if err := r.check(); err != nil {
		return Files{}, err
	}
	template, err := r.template()
	if err != nil {
		return Files{}, err
	}
	key, err := newKey()
	if err != nil {
		return Files{}, err
	}
	cert, err := sign(template, a.bundle[0], key.Public(), a.key)
	if err != nil {
		return Files{}, err
	}
	files := LeafFiles(a.dir, r.Name)
	return files, writeLeaf(files, cert, key)
}

func (r Request) check() error {
	if !ValidName(r.Name) {
		return errs.New(errs.InvalidArgument, "use at most 63 letters, digits, dots, hyphens and underscores, and not ca",
			"name %q cannot be used in a certificate", r.Name)
	}
	if r.Role != RoleVM && r.Role != RoleOperator {
		return errs.New(errs.InvalidArgument, "use vm or operator", "certificate for %q needs exactly one role", r.Name)
	}
	if r.Role == RoleVM && len(r.IPs) == 0 {
		return errs.New(errs.InvalidArgument, "give each address of [listen] internal with --ip",
			"certificate for VM %q names no IP address", r.Name)
	}
	if r.Lifetime < 0 {
		return errs.New(errs.InvalidArgument, "give a positive lifetime", "lifetime %s of %q is negative", r.Lifetime, r.Name)
	}
	return nil
}

func (r Request) template() (*x509.Certificate, error) {
	lifetime := r.Lifetime
	if lifetime == 0 {
		lifetime = LeafLifetime
	}
	template, err := newTemplate(lifetime)
	if err != nil {
		return nil, err
	}
	template.Subject = pkix.Name{CommonName: r.Name, OrganizationalUnit: []string{r.Role.String()}}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if r.Role == RoleVM {
		template.ExtKeyUsage = append(template.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
		template.DNSNames = []string{r.Name}
		template.IPAddresses = r.IPs
	}
	return template, nil
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	return key, errs.Wrap(err, errs.Internal, "", "cannot create a key")
}

func newTemplate(lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "", "cannot create a serial number")
	}
	now := time.Now()
	return &x509.Certificate{SerialNumber: serial, NotBefore: now.Add(-clockSkew), NotAfter: now.Add(lifetime)}, nil
}

func sign(template, parent *x509.Certificate, public crypto.PublicKey, key crypto.Signer) (*x509.Certificate, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, key)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "", "cannot sign the certificate of %q", template.Subject.CommonName)
	}
	cert, err := x509.ParseCertificate(der)
	return cert, errs.Wrap(err, errs.Internal, "", "cannot read the new certificate of %q", template.Subject.CommonName)
}

func encodeCertificates(list []*x509.Certificate) []byte {
	var out []byte
	for _, cert := range list {
		out = append(out, pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: cert.Raw})...)
	}
	return out
}

// ValidName reports whether name can be used in a certificate and in the names of its files. It rejects the name ca,
// whose files would overwrite those of the certificate authority.
func ValidName(name string) bool { return namePattern.MatchString(name) && name != "ca" }
