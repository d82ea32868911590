package pki

import (
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"filbertledge/internal/errs"
)

var loopback = []net.IP{net.IPv4(127, 0, 0, 1)}

func newAuthority(t *testing.T) (*Authority, string) {
	t.Helper()
	dir := t.TempDir()
	a, err := Init(dir, "test")
	if err != nil {
		t.Fatal(err)
	}
	return a, dir
}

func mustIssue(t *testing.T, a *Authority, r Request) Files {
	t.Helper()
	files, err := a.Issue(r)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// Guards against Issue creating unusable TLS material, and against Check accepting material that is unusable or does
// not belong to the expected holder.
func TestCheckReportsUnusableMaterial(t *testing.T) {
	a, dir := newAuthority(t)
	other, _ := newAuthority(t)
	vm := mustIssue(t, a, Request{Name: "a-1", Role: RoleVM, IPs: loopback})
	operator := mustIssue(t, a, Request{Name: "op", Role: RoleOperator})
	otherCA := mustIssue(t, other, Request{Name: "a-1", Role: RoleVM, IPs: loopback})
	readableByOthers := mustIssue(t, a, Request{Name: "a-3", Role: RoleVM, IPs: loopback})
	if err := os.Chmod(readableByOthers.Key, 0o644); err != nil {
		t.Fatal(err)
	}
	expect := Expectations{Name: "a-1", Role: RoleVM, IPs: loopback}
	cases := []struct {
		name   string
		files  Files
		expect Expectations
		want   string
	}{
		{"good VM", vm, expect, ""},
		{"good operator", operator, Expectations{Role: RoleOperator}, ""},
		{"wrong role", operator, Expectations{Role: RoleVM}, "has the role operator, not vm"},
		{"wrong name", vm, Expectations{Name: "a-2"}, `is for "a-1", not "a-2"`},
		{"wrong address", vm, Expectations{IPs: []net.IP{net.IPv4(10, 0, 0, 1)}}, "does not name the address 10.0.0.1"},
		{"wrong CA", Files{CA: vm.CA, Cert: otherCA.Cert, Key: otherCA.Key}, expect, "was not issued by a CA"},
		{"wrong key", Files{CA: vm.CA, Cert: vm.Cert, Key: operator.Key}, expect, "does not belong to"},
		{"mode", readableByOthers, Expectations{}, "mode 0644 lets others use the key"},
		{"expired", vm, Expectations{Now: time.Now().Add(LeafLifetime + time.Hour)}, "expired at"},
		{"expires soon", vm, Expectations{Now: time.Now().Add(LeafLifetime - ExpiryWarningPeriod + time.Hour)}, "expires at"},
		{"clock", vm, Expectations{Now: time.Now().Add(-time.Hour)}, "not valid before"},
		{"missing", LeafFiles(dir, "a-9"), expect, "no such file"},
		{"leaf as CA", Files{CA: vm.Cert, Cert: vm.Cert, Key: vm.Key}, expect, "is not a CA"},
	}
	for _, c := range cases {
		findings := Check(c.files, c.expect)
		if c.want == "" && len(findings) > 0 {
			t.Errorf("%s: %v", c.name, findings)
		}
		if c.want != "" && !hasFinding(findings, c.want) {
			t.Errorf("%s: %q is not in %v", c.name, c.want, findings)
		}
	}
}

func hasFinding(findings []Finding, want string) bool {
	for _, f := range findings {
		if strings.Contains(f.String(), want) {
			return true
		}
	}
	return false
}

// Guards against a second Init, or a certificate name such as ca, overwriting the files of the authority, and against
// incomplete requests being issued.
func TestAuthorityIsNotOverwritten(t *testing.T) {
	a, dir := newAuthority(t)
	if _, err := Init(dir, "test"); !errs.Is(err, errs.Conflict) {
		t.Errorf("second Init: %v", err)
	}
	bad := []Request{
		{Name: "ca", Role: RoleOperator},
		{Name: "../a", Role: RoleOperator},
		{Name: "", Role: RoleOperator},
		{Name: "a-1", Role: RoleVM},
		{Name: "a-1", Role: RoleAny, IPs: loopback},
		{Name: "a-1"},
	}
	for _, r := range bad {
		if _, err := a.Issue(r); !errs.Is(err, errs.InvalidArgument) {
			t.Errorf("Issue(%+v): %v", r, err)
		}
	}
	if _, err := OpenAuthority(dir); err != nil {
		t.Error(err)
	}
}

// Guards against a reload that replaces usable material by a file that is only partly written, and against one that
// ignores the complete files afterwards.
func TestSourceKeepsMaterialWhenFilesAreUnusable(t *testing.T) {
	a, dir := newAuthority(t)
	files := mustIssue(t, a, Request{Name: "a-1", Role: RoleVM, IPs: loopback})
	var loads, failures int
	s, err := NewTLSSource(files, TLSSourceOptions{OnReload: func(Identity) { loads++ }, OnError: func(error) { failures++ }})
	if err != nil {
		t.Fatal(err)
	}
	before := s.Identity()
	key, err := os.ReadFile(files.Key)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(files.Key, key[:len(key)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	if got := s.Identity(); got != before || failures != 1 || loads != 0 {
		t.Fatalf("after a broken key: %+v, %d failures, %d loads", got, failures, loads)
	}
	if _, err := a.Rotate("a-1", time.Hour); err != nil {
		t.Fatal(err)
	}
	if got := s.Identity(); !got.NotAfter.Before(before.NotAfter) || loads != 1 {
		t.Fatalf("after the rotation: %+v, %d loads", got, loads)
	}
	if names, err := a.Names(); err != nil || len(names) != 1 || names[0] != "a-1" {
		t.Fatalf("names in %s: %v, %v", dir, names, err)
	}
}

// Guards against removing an old root while a certificate issued by it is still in use, which would cut off its holder.
func TestDropOldCAsRefusesWhileCertificatesDependOnThem(t *testing.T) {
	a, dir := newAuthority(t)
	mustIssue(t, a, Request{Name: "a-1", Role: RoleVM, IPs: loopback})
	if err := a.RotateCA("test"); err != nil {
		t.Fatal(err)
	}
	a, err := OpenAuthority(dir)
	if err != nil {
		t.Fatal(err)
	}
	if findings := Check(LeafFiles(dir, "a-1"), Expectations{}); len(findings) > 0 {
		t.Fatalf("the old certificate is no longer accepted: %v", findings)
	}
	if err := a.DropOldCAs(); !errs.Is(err, errs.Conflict) {
		t.Fatalf("DropOldCAs: %v", err)
	}
	if _, err := a.Rotate("a-1", 0); err != nil {
		t.Fatal(err)
	}
	if err := a.DropOldCAs(); err != nil {
		t.Fatal(err)
	}
	if findings := Check(LeafFiles(dir, "a-1"), Expectations{Name: "a-1", Role: RoleVM, IPs: loopback}); len(findings) > 0 {
		t.Fatalf("after the rotation: %v", findings)
	}
}

// Guards against tokens that repeat, digests that match another token, and texts that are accepted as digests, such as
// a token entered in place of its digest.
func TestTokensAreUniqueAndMatchTheirDigest(t *testing.T) {
	first, digest := NewToken()
	second, _ := NewToken()
	if first == second || !ValidDigest(digest) || !TokenMatches(first, digest) || TokenMatches(second, digest) {
		t.Fatalf("tokens %q %q, digest %q", first, second, digest)
	}
	for _, bad := range []string{"", first, strings.ToUpper(digest), digest[1:]} {
		if ValidDigest(bad) {
			t.Errorf("digest %q is accepted", bad)
		}
	}
}
