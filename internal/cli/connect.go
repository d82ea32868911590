package cli

import (
	"context"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"filbertledge/internal/errs"
	"filbertledge/internal/operator"
	"filbertledge/internal/pki"
	"filbertledge/internal/transport"
)

// Environment variables that replace absent connection flags.
const (
	envServer = "FILBERTLEDGE_SERVER"
	envCA     = "FILBERTLEDGE_CA"
	envCert   = "FILBERTLEDGE_CERT"
	envKey    = "FILBERTLEDGE_KEY"
)

// Timeouts for connections to VMs. They are longer than between VMs, because an operator's network may be slower and a
// person can wait longer.
const (
	dialTimeout = 2 * time.Second
	peerTimeout = 3 * time.Second
)

// connectFlags holds the addresses and TLS files for connections to a deployment.
type connectFlags struct {
	server string
	ca     string
	cert   string
	key    string
}

func (f *connectFlags) register(flags *pflag.FlagSet) {
	flags.StringVar(&f.server, "server", "", "internal addresses of VMs, IP:PORT[,IP:PORT...] ($"+envServer+")")
	flags.StringVar(&f.ca, "ca", "", "CA file ($"+envCA+")")
	flags.StringVar(&f.cert, "cert", "", "operator certificate ($"+envCert+")")
	flags.StringVar(&f.key, "key", "", "key of the operator certificate ($"+envKey+")")
}

// valueOrEnv returns value, or the environment variable called name if value is empty.
func valueOrEnv(value, name string) string {
	if value != "" {
		return value
	}
	return os.Getenv(name)
}

func (f *connectFlags) files() pki.Files {
	return pki.Files{CA: valueOrEnv(f.ca, envCA), Cert: valueOrEnv(f.cert, envCert), Key: valueOrEnv(f.key, envKey)}
}

func (f *connectFlags) servers() ([]string, error) {
	var out []string
	for _, server := range strings.Split(valueOrEnv(f.server, envServer), ",") {
		server = strings.TrimSpace(server)
		if server == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(server); err != nil {
			return nil, errs.New(errs.InvalidArgument, "give an IP address and a port, such as 10.0.0.1:9001", "--server %q is not usable", server)
		}
		out = append(out, server)
	}
	return out, nil
}

// requireFiles returns an error that names the first missing flag. Without it, the error would be about a file with an
// empty path.
func requireFiles(files pki.Files) error {
	for _, item := range []struct{ value, flag, env string }{
		{files.CA, "--ca", envCA},
		{files.Cert, "--cert", envCert},
		{files.Key, "--key", envKey},
	} {
		if item.value == "" {
			return errs.New(errs.InvalidArgument, "give "+item.flag+" FILE or set "+item.env, "%s is missing", item.flag)
		}
	}
	return nil
}

// withClient returns the function of a command that needs a client for the deployment and has no arguments.
func (a *app) withClient(f func(context.Context, *operator.Client) error) func(*cobra.Command, []string) error {
	return a.withClientAndArgs(func(ctx context.Context, c *operator.Client, _ []string) error { return f(ctx, c) })
}

// withClientAndArgs is withClient for commands with arguments.
func (a *app) withClientAndArgs(f func(context.Context, *operator.Client, []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		servers, err := a.connect.servers()
		if err != nil {
			return err
		}
		files := a.connect.files()
		if err := requireFiles(files); err != nil {
			return err
		}
		source, err := pki.NewTLSSource(files, pki.TLSSourceOptions{})
		if err != nil {
			return err
		}
		t, err := transport.NewClient(transport.ClientOptions{Identity: source, DialTimeout: dialTimeout, PeerTimeout: peerTimeout})
		if err != nil {
			return err
		}
		defer t.Close()
		c, err := operator.NewClient(t, servers)
		if err != nil {
			return err
		}
		return f(cmd.Context(), c, args)
	}
}

// withTimeout returns a context with the timeout from the global flag --timeout.
func (a *app) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, a.timeout)
}
