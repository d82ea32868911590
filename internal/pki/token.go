package pki

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
)

// tokenBytes is the length of a token before encoding. Guessing 256 random bits is infeasible, so an unsalted SHA-256
// digest is sufficient to protect the token.
const tokenBytes = 32

// NewToken returns a random token and its digest as computed by HashToken.
func NewToken() (token, digest string) {
	raw := make([]byte, tokenBytes)
	rand.Read(raw)
	token = base64.RawURLEncoding.EncodeToString(raw)
	return token, HashToken(token)
}

// HashToken returns the SHA-256 digest of a token in lower-case hexadecimal.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// TokenMatches reports whether digest is the digest of token. The comparison takes constant time.
func TokenMatches(token, digest string) bool {
	return subtle.ConstantTimeCompare([]byte(HashToken(token)), []byte(digest)) == 1
}

// ValidDigest reports whether s is a SHA-256 digest in lower-case hexadecimal.
func ValidDigest(s string) bool {
	raw, err := hex.DecodeString(s)
	return err == nil && len(raw) == sha256.Size && hex.EncodeToString(raw) == s
}
