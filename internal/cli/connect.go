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

// Environment variables for the connection flags.
const (
	envServer = "FILBERTLEDGE_SERVER"
	envCA     = "FILBERTLEDGE_CA"
	envCert   = "FILBERTLEDGE_CERT"
	envKey    = "FILBERTLEDGE_KEY"
)

// An operator's network may be slower than the one between VMs, and a person can wait longer.
const (
	dialTimeout   = 2 * time.Second
	silentTimeout = 3 * time.Second
)

// connectFlags say how to reach the deployment.
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

func orEnv(value, name string) string {
	if value != "" {
		return value
	}
	return os.Getenv(name)
}

func (f *connectFlags) files() pki.Files {
	return pki.Files{CA: orEnv(f.ca, envCA), Cert: orEnv(f.cert, envCert), Key: orEnv(f.key, envKey)}
}

func (f *connectFlags) servers() ([]string, error) {
	var out []string
	for _, server := range strings.Split(orEnv(f.server, envServer), ",") {
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

// checkFiles names the first missing flag, before the error of a missing file would.
func checkFiles(files pki.Files) error {
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

// remote runs f with a connection to the deployment.
func (a *app) remote(f func(context.Context, *operator.Client) error) func(*cobra.Command, []string) error {
	return a.remoteArgs(func(ctx context.Context, c *operator.Client, _ []string) error { return f(ctx, c) })
}

// remoteArgs is remote for commands with arguments.
func (a *app) remoteArgs(f func(context.Context, *operator.Client, []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		servers, err := a.connect.servers()
		if err != nil {
			return err
		}
		files := a.connect.files()
		if err := checkFiles(files); err != nil {
			return err
		}
		source, err := pki.NewTLSSource(files, pki.TLSSourceOptions{})
		if err != nil {
			return err
		}
		t, err := transport.NewClient(transport.ClientOptions{Identity: source, DialTimeout: dialTimeout, PeerTimeout: silentTimeout})
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

// limited returns a context that ends after the global timeout.
func (a *app) limited(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, a.timeout)
}
