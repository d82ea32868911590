package cli

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"path/filepath"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"filbertledge/internal/api"
	"filbertledge/internal/config"
	"filbertledge/internal/errs"
	"filbertledge/internal/pki"
)

func (a *app) serveCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run one VM of the service",
		Long: `Run one VM of the service in the foreground. It logs JSON lines to stderr. SIGTERM and SIGINT start a
graceful shutdown; a second signal ends the process at once.`,
		Example: "  filbertledge serve --config szeged-a-1.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := config.Load(path)
			if err != nil {
				return err
			}
			if a.Serve == nil {
				return errs.New(errs.Internal, "use a complete build", "this build has no server")
			}
			a.logWarnings(c.Warnings())
			return withInternalKind(a.Serve(cmd.Context(), c))
		},
	}
	cmd.Flags().StringVar(&path, "config", "", "settings file of the VM")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

// logWarnings writes warnings to stderr in the JSON log format of the server.
func (a *app) logWarnings(list config.Problems) {
	log := logrus.New()
	log.SetOutput(a.Stderr)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	for _, w := range list {
		log.WithFields(logrus.Fields{"file": w.File, "key": w.Key, "remedy": w.Remedy}).Warn(w.Message)
	}
}

// withInternalKind gives errors of the server without a kind the kind Internal. Otherwise withErrorKind would report
// them as an invalid command line.
func withInternalKind(err error) error {
	var known *errs.Error
	if err == nil || errors.As(err, &known) {
		return err
	}
	return errs.Wrap(err, errs.Internal, "", "the VM stopped")
}

func (a *app) configCommand() *cobra.Command {
	return commandGroup("config", "Check and write settings files", a.configCheckCommand(), a.configInitCommand())
}

// fileCheckResult is the result of config check for one file.
type fileCheckResult struct {
	File     string          `json:"file"`
	Problems config.Problems `json:"problems"`
	Warnings config.Problems `json:"warnings"`
	Keys     []pki.Finding   `json:"keys"`
}

func (a *app) configCheckCommand() *cobra.Command {
	var withKeys bool
	cmd := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings files",
		Long: `Check settings files as serve does, and report all problems at once. Several files are also compared: VMs of
one deployment have different names and addresses and the same control replicas. With --keys, also check that the
TLS files in [tls] fit the VM.`,
		Example: "  filbertledge config check szeged-a-1.toml\n  filbertledge config check --keys *.toml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			results, err := checkSettings(args, withKeys)
			if err != nil {
				return err
			}
			failed := 0
			for _, r := range results {
				if r.hasErrors() {
					failed++
				}
			}
			if err := a.print(results, func(w io.Writer) { printCheckResults(w, results) }); err != nil {
				return err
			}
			if failed > 0 {
				return errs.New(errs.ConfigInvalid, "correct the keys listed above", "%d of %d settings files have problems", failed, len(args))
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&withKeys, "keys", false, "also check the TLS files")
	return cmd
}

func checkSettings(paths []string, withKeys bool) ([]fileCheckResult, error) {
	var configs []*config.Config
	for _, path := range paths {
		c, err := config.Read(path)
		if err != nil {
			return nil, err
		}
		configs = append(configs, c)
	}
	deploymentProblems := config.CheckDeployment(configs)
	results := []fileCheckResult{}
	for _, c := range configs {
		r := checkFile(c, withKeys)
		for _, p := range deploymentProblems {
			if p.File == c.File {
				r.Problems = append(r.Problems, p)
			}
		}
		results = append(results, r)
	}
	return results, nil
}

func checkFile(c *config.Config, withKeys bool) fileCheckResult {
	r := fileCheckResult{File: c.File, Problems: config.Problems{}, Warnings: config.Problems{}, Keys: []pki.Finding{}}
	errors.As(c.Check(), &r.Problems)
	r.Warnings = append(r.Warnings, c.Warnings()...)
	if withKeys {
		expect := pki.Expectations{Name: string(c.VM.Name), Role: pki.RoleVM}
		if ip := c.InternalIP(); ip != nil {
			expect.IPs = append(expect.IPs, ip)
		}
		r.Keys = append(r.Keys, pki.Check(c.TLS.Files(), expect)...)
	}
	return r
}

func (r fileCheckResult) hasErrors() bool {
	for _, f := range r.Keys {
		if !f.Warning {
			return true
		}
	}
	return len(r.Problems) > 0
}

func printCheckResults(w io.Writer, results []fileCheckResult) {
	for _, r := range results {
		for _, p := range r.Problems {
			fmt.Fprintf(w, "error: %v\n", p)
		}
		for _, p := range r.Warnings {
			fmt.Fprintf(w, "warning: %v\n", p)
		}
		for _, f := range r.Keys {
			fmt.Fprintln(w, f)
		}
		if !r.hasErrors() {
			fmt.Fprintf(w, "%s: ok\n", r.File)
		}
	}
}

// initFlags holds the flags of config init, which describe the deployment.
type initFlags struct {
	dir   string
	vms   []string
	pools []string
	store string
	keys  string
	data  string
	ports config.Ports
}

func (a *app) configInitCommand() *cobra.Command {
	var f initFlags
	cmd := &cobra.Command{
		Use:   "init --dir DIR --vm NAME,DOMAIN,IP[,replica]...",
		Short: "Write commented settings files for a deployment",
		Long: `Write one complete, commented settings file for each VM of a deployment. VMs that share an IP address get
ascending ports. Existing files are not overwritten.`,
		Example: `  filbertledge config init --dir deployment \
    --vm szeged-a-1,szeged-a,127.0.0.1,replica --vm szeged-b-1,szeged-b,127.0.0.1,replica \
    --vm bekes-a-1,bekes-a,127.0.0.1,replica --pool drafter-llm=DIGEST --store http://127.0.0.1:6001`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			d, err := f.deployment()
			if err != nil {
				return err
			}
			paths, err := config.Write(f.dir, d)
			if err != nil {
				return err
			}
			return a.print(paths, func(w io.Writer) { fmt.Fprintln(w, strings.Join(paths, "\n")) })
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&f.dir, "dir", ".", "folder of the settings files")
	flags.StringArrayVar(&f.vms, "vm", nil, "NAME,DOMAIN,IP[,replica]; repeat for each VM")
	flags.StringArrayVar(&f.pools, "pool", nil, "NAME=DIGEST of a pool of backend servers; filbertledge keys token creates a digest")
	flags.StringVar(&f.store, "store", "", "URL of the weight store")
	flags.StringVar(&f.keys, "keys", "keys", "folder of the TLS files, relative to the settings files")
	flags.StringVar(&f.data, "data", "data", "folder of the data folders, relative to the settings files")
	flags.Uint16Var(&f.ports.HTTP, "http-port", config.DefaultPorts.HTTP, "first HTTP port")
	flags.Uint16Var(&f.ports.Internal, "internal-port", config.DefaultPorts.Internal, "first internal port")
	flags.Uint16Var(&f.ports.Metrics, "metrics-port", config.DefaultPorts.Metrics, "first metrics port")
	_ = cmd.MarkFlagRequired("vm")
	return cmd
}

func (f initFlags) deployment() (config.Deployment, error) {
	d := config.Deployment{WeightStore: f.store, Keys: filepath.Clean(f.keys), Data: filepath.Clean(f.data)}
	vmsOnIP := map[netip.Addr]int{}
	for _, text := range f.vms {
		parts := strings.Split(text, ",")
		if len(parts) < 3 || len(parts) > 4 || (len(parts) == 4 && parts[3] != "replica") {
			return d, errs.New(errs.InvalidArgument, "write NAME,DOMAIN,IP or NAME,DOMAIN,IP,replica", "--vm %q is malformed", text)
		}
		ip, err := netip.ParseAddr(parts[2])
		if err != nil {
			return d, errs.New(errs.InvalidArgument, "give an IP address", "--vm %q: %q is not an IP address", text, parts[2])
		}
		d.VMs = append(d.VMs, config.DeploymentVM{
			Name: api.VMID(parts[0]), FailureDomain: api.FailureDomain(parts[1]),
			Listen: f.ports.ListenAddresses(ip, vmsOnIP[ip]), Replica: len(parts) == 4,
		})
		vmsOnIP[ip]++
	}
	for _, text := range f.pools {
		name, digest, ok := strings.Cut(text, "=")
		if !ok {
			return d, errs.New(errs.InvalidArgument, "write NAME=DIGEST", "--pool %q is malformed", text)
		}
		d.Pools = append(d.Pools, config.Pool{Name: api.Pool(name), TokenSHA256: digest})
	}
	return d, nil
}
