package cli

import (
	"fmt"
	"io"
	"net"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"filbertledge/internal/errs"
	"filbertledge/internal/pki"
)

const defaultKeysDir = "keys"

func (a *app) keysCommand() *cobra.Command {
	return commandGroup("keys", "Create, rotate and check TLS material and tokens",
		a.keysInitCommand(), a.keysIssueCommand(), a.keysRotateCommand(), a.keysCheckCommand(), a.keysTokenCommand())
}

func dirFlag(cmd *cobra.Command, dir *string) {
	cmd.Flags().StringVar(dir, "dir", defaultKeysDir, "folder of the certificate authority")
}

func (a *app) keysInitCommand() *cobra.Command {
	var dir, name string
	cmd := &cobra.Command{
		Use:   "init",
		Short: "Create the certificate authority of a deployment",
		Long: `Create ca.pem and ca-key.pem. VMs and operators need ca.pem only; keep ca-key.pem where certificates are
issued.`,
		Example: "  filbertledge keys init --dir keys --name galambkert",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := pki.Init(dir, name)
			return a.printCA(dir, err)
		},
	}
	dirFlag(cmd, &dir)
	cmd.Flags().StringVar(&name, "name", "filbertledge", "name of the deployment")
	return cmd
}

// caFile is the JSON output with the path of the CA file that has to be distributed.
type caFile struct {
	CA string `json:"ca"`
}

func (a *app) printCA(dir string, err error) error {
	if err != nil {
		return err
	}
	file := caFile{filepath.Join(dir, pki.CAFile)}
	return a.print(file, func(w io.Writer) { fmt.Fprintln(w, file.CA) })
}

func (a *app) keysIssueCommand() *cobra.Command {
	var dir, role string
	var r pki.Request
	cmd := &cobra.Command{
		Use:   "issue",
		Short: "Issue a certificate for a VM or an operator",
		Example: `  filbertledge keys issue --role vm --name szeged-a-1 --ip 10.0.0.1
  filbertledge keys issue --role operator --name ilona`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var err error
			if r.Role, err = pki.ParseRole(role); err != nil {
				return err
			}
			authority, err := pki.OpenAuthority(dir)
			if err != nil {
				return err
			}
			files, err := authority.Issue(r)
			if err != nil {
				return err
			}
			return a.printCertificatePaths([]pki.Files{files})
		},
	}
	dirFlag(cmd, &dir)
	cmd.Flags().StringVar(&role, "role", "vm", "vm or operator")
	cmd.Flags().StringVar(&r.Name, "name", "", "name of the VM or operator")
	cmd.Flags().IPSliceVar(&r.IPs, "ip", nil, "IP address of the VM; repeat for several")
	cmd.Flags().DurationVar(&r.Lifetime, "lifetime", pki.LeafLifetime, "lifetime of the certificate")
	_ = cmd.MarkFlagRequired("name")
	return cmd
}

func (a *app) printCertificatePaths(list []pki.Files) error {
	return a.print(list, func(w io.Writer) {
		for _, files := range list {
			fmt.Fprintf(w, "%s\n%s\n", files.Cert, files.Key)
		}
	})
}

// rotateFlags selects the certificates or CAs that keys rotate replaces or removes.
type rotateFlags struct {
	dir       string
	all       bool
	newCA     bool
	dropOldCA bool
	name      string
	lifetime  time.Duration
}

func (a *app) keysRotateCommand() *cobra.Command {
	var f rotateFlags
	cmd := &cobra.Command{
		Use:   "rotate [NAME...]",
		Short: "Reissue certificates with new keys",
		Long: `Reissue certificates with new keys, the same roles and the same addresses. Running processes load changed
files within 5 s without a restart.

To replace the certificate authority: run rotate --new-ca and distribute ca.pem to all VMs and operators; then
run rotate --all and distribute the certificates; then run rotate --drop-old-ca and distribute ca.pem again.`,
		Example: "  filbertledge keys rotate szeged-a-1\n  filbertledge keys rotate --all",
		RunE: func(_ *cobra.Command, names []string) error {
			authority, err := pki.OpenAuthority(f.dir)
			if err != nil {
				return err
			}
			switch {
			case f.newCA && !f.dropOldCA && !f.all && len(names) == 0:
				return a.printCA(f.dir, authority.RotateCA(f.name))
			case f.dropOldCA && !f.newCA && !f.all && len(names) == 0:
				return a.printCA(f.dir, authority.DropOldCAs())
			case f.newCA || f.dropOldCA || f.all == (len(names) > 0):
				return errs.New(errs.InvalidArgument, "give names, or one of --all, --new-ca and --drop-old-ca", "nothing to rotate, or conflicting selections")
			}
			return a.rotate(authority, f, names)
		},
	}
	dirFlag(cmd, &f.dir)
	cmd.Flags().BoolVar(&f.all, "all", false, "all certificates in the folder")
	cmd.Flags().BoolVar(&f.newCA, "new-ca", false, "add a new root that signs from now on; the old ones stay accepted")
	cmd.Flags().BoolVar(&f.dropOldCA, "drop-old-ca", false, "remove the old roots")
	cmd.Flags().StringVar(&f.name, "name", "filbertledge", "name of the deployment, for --new-ca")
	cmd.Flags().DurationVar(&f.lifetime, "lifetime", pki.LeafLifetime, "lifetime of the certificates")
	return cmd
}

func (a *app) rotate(authority *pki.Authority, f rotateFlags, names []string) error {
	if f.all {
		var err error
		if names, err = authority.Names(); err != nil {
			return err
		}
	}
	var list []pki.Files
	for _, name := range names {
		files, err := authority.Rotate(name, f.lifetime)
		if err != nil {
			return err
		}
		list = append(list, files)
	}
	return a.printCertificatePaths(list)
}

func (a *app) keysCheckCommand() *cobra.Command {
	var dir, role string
	var expect pki.Expectations
	var ips []net.IP
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check TLS material: expiry, role, CA, keys and file modes",
		Long: `Check all certificates in the folder --dir, or the files given by --ca, --cert and --key. With --role,
--name and --ip, also check what the certificate is for.`,
		Example: "  filbertledge keys check --dir keys\n  filbertledge keys check --ca ca.pem --cert a.pem --key a-key.pem --role vm --ip 10.0.0.1",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if role != "" {
				var err error
				if expect.Role, err = pki.ParseRole(role); err != nil {
					return err
				}
			}
			expect.IPs = ips
			files, err := a.filesToCheck(cmd.Flags().Changed("dir"), dir)
			if err != nil {
				return err
			}
			return a.checkKeys(files, expect)
		},
	}
	dirFlag(cmd, &dir)
	cmd.Flags().StringVar(&role, "role", "", "expected role")
	cmd.Flags().StringVar(&expect.Name, "name", "", "expected name")
	cmd.Flags().IPSliceVar(&ips, "ip", nil, "IP address that the certificate must name")
	return cmd
}

// filesToCheck returns the files given by --ca, --cert and --key, or those of all certificates in dir if --dir or no
// certificate is given.
func (a *app) filesToCheck(dirGiven bool, dir string) ([]pki.Files, error) {
	files := a.connect.files()
	if !dirGiven && files.Cert != "" {
		return []pki.Files{files}, requireFiles(files)
	}
	authority, err := pki.OpenAuthority(dir)
	if err != nil {
		return nil, err
	}
	names, err := authority.Names()
	if err != nil {
		return nil, err
	}
	var list []pki.Files
	for _, name := range names {
		list = append(list, pki.LeafFiles(dir, name))
	}
	return list, nil
}

func (a *app) checkKeys(list []pki.Files, expect pki.Expectations) error {
	findings := []pki.Finding{}
	seen := map[pki.Finding]bool{} // the files share one CA file, whose findings are reported once
	failed := 0
	for _, files := range list {
		for _, f := range pki.Check(files, expect) {
			if seen[f] {
				continue
			}
			seen[f] = true
			findings = append(findings, f)
			if !f.Warning {
				failed++
			}
		}
	}
	err := a.print(findings, func(w io.Writer) {
		for _, f := range findings {
			fmt.Fprintln(w, f)
		}
		fmt.Fprintf(w, "%d certificate(s) checked, %d error(s), %d warning(s)\n", len(list), failed, len(findings)-failed)
	})
	if err == nil && failed > 0 {
		err = errs.New(errs.ConfigInvalid, "follow the remedies listed above", "TLS material has %d error(s)", failed)
	}
	return err
}

type tokenWithDigest struct {
	Token       string `json:"token"`
	TokenSHA256 string `json:"token_sha256"`
}

func (a *app) keysTokenCommand() *cobra.Command {
	var fromStdin bool
	cmd := &cobra.Command{
		Use:   "token",
		Short: "Create a random token and its digest",
		Long: `Create a random token and its SHA-256 digest. The token goes to the callers of a row or to the servers of a
pool; the digest goes into the column token_sha256 of the row, or into [[pools]] of the settings.
With --stdin, print the digest of a token that is read from standard input.`,
		Example: "  filbertledge keys token\n  filbertledge keys token --stdin < token.txt",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var pair tokenWithDigest
			pair.Token, pair.TokenSHA256 = pki.NewToken()
			if fromStdin {
				token, err := readToken(a.Stdin)
				if err != nil {
					return err
				}
				pair = tokenWithDigest{Token: token, TokenSHA256: pki.HashToken(token)}
			}
			return a.print(pair, func(w io.Writer) {
				if !fromStdin {
					fmt.Fprintf(w, "token = %s\n", pair.Token)
				}
				fmt.Fprintf(w, "token_sha256 = %s\n", pair.TokenSHA256)
			})
		},
	}
	cmd.Flags().BoolVar(&fromStdin, "stdin", false, "read a token from standard input instead of creating one")
	return cmd
}

// maxTokenBytes limits the length of a token that is read from standard input.
const maxTokenBytes = 4096

// readToken reads a token from one line. The line break is not part of the token.
func readToken(r io.Reader) (string, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxTokenBytes+1))
	if err != nil {
		return "", errs.Wrap(err, errs.InvalidArgument, "give the token on standard input", "cannot read the token")
	}
	token := trimLineEnd(string(data))
	if token == "" || len(token) > maxTokenBytes {
		return "", errs.New(errs.InvalidArgument, "give one line of 1 to 4096 bytes on standard input", "token has %d bytes", len(token))
	}
	return token, nil
}

func trimLineEnd(s string) string {
	for len(s) > 0 && (s[len(s)-1] == '\n' || s[len(s)-1] == '\r') {
		s = s[:len(s)-1]
	}
	return s
}
