package pki

import (
	"crypto"
	"crypto/x509"
	"encoding/pem"
	"os"
	"path/filepath"

	"filbertledge/internal/errs"
)

// Files holds the paths of the PEM files with the TLS material of one process.
type Files struct {
	CA   string
	Cert string
	Key  string
}

// replaceFile atomically replaces the file at path: it writes data to a temporary file in the same folder, syncs it and
// renames it to path. Readers see either the old or the new content.
func replaceFile(path string, data []byte, mode os.FileMode) error {
	err := writeAndRename(path, data, mode)
	return errs.Wrap(err, errs.StorageFailed, "check the folder's permissions and free space", "cannot write %s", path)
}

func writeAndRename(path string, data []byte, mode os.FileMode) error {
	f, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	defer f.Close()
	if err := f.Chmod(mode); err != nil {
		return err
	}
	if _, err := f.Write(data); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

func writeKey(path string, key crypto.Signer) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "", "cannot encode the key for %s", path)
	}
	return replaceFile(path, pem.EncodeToMemory(&pem.Block{Type: pemKey, Bytes: der}), keyMode)
}

func writeCertificates(path string, list []*x509.Certificate) error {
	return replaceFile(path, encodeCertificates(list), certMode)
}

// writeLeaf writes a certificate and its key, the key first. A process that reloads its files between the two writes
// finds a key that does not match the certificate, keeps the material that it has loaded, and tries again at its next
// check.
func writeLeaf(files Files, cert *x509.Certificate, key crypto.Signer) error {
	if err := writeKey(files.Key, key); err != nil {
		return err
	}
	return writeCertificates(files.Cert, []*x509.Certificate{cert})
}

func readCertificates(path string) ([]*x509.Certificate, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.Wrap(err, errs.ConfigInvalid, "create it with filbertledge keys init or keys issue", "cannot read certificates")
	}
	var list []*x509.Certificate
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != pemCertificate {
			continue
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, errs.Wrap(err, errs.ConfigInvalid, "reissue it with filbertledge keys", "%s holds a malformed certificate", path)
		}
		list = append(list, cert)
	}
	if len(list) == 0 {
		return nil, errs.New(errs.ConfigInvalid, "give a PEM file from filbertledge keys", "%s holds no certificate", path)
	}
	return list, nil
}

func readKey(path string) (crypto.Signer, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.Wrap(err, errs.ConfigInvalid, "give the key file that filbertledge keys created", "cannot read a key")
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != pemKey {
		return nil, errs.New(errs.ConfigInvalid, "give a PKCS 8 key file from filbertledge keys", "%s holds no private key", path)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		// The error of the parser could contain key material, so it is not wrapped.
		return nil, errs.New(errs.ConfigInvalid, "give a PKCS 8 key file from filbertledge keys", "%s holds a malformed key", path)
	}
	key, ok := parsed.(crypto.Signer)
	if !ok {
		return nil, errs.New(errs.ConfigInvalid, "give a PKCS 8 key file from filbertledge keys", "%s holds a key that cannot sign", path)
	}
	return key, nil
}
