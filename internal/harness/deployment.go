package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Options configures a deployment. The zero value of a field selects the stated default.
type Options struct {
	Layout       Layout
	Filbertledge string        // path of the filbertledge binary
	Standin      string        // path of the stand-in binary
	Dir          string        // default: a new temporary folder; Close removes it unless Keep is set
	Keep         bool          // Close leaves Dir in place
	ReadyWithin  time.Duration // timeout of Start; default 20 s
	EngineArgs   []string      // additional arguments of every engine process
	ServiceArgs  []string      // additional arguments of every service process
	CallerMemory string        // limits.caller_memory of every VM; default: that of the product
	SkipTable    bool          // do not import the layout's table
}

// VM is one entry VM.
type VM struct {
	VMSpec
	*Process
	HTTP     string // listen addresses, each as IP:port
	Internal string
	Metrics  string
}

// Backend is a stand-in process: a backend server, the weight store or the scoring service.
type Backend struct {
	BackendSpec
	*Process
	Address  string // IP:port
	logFiles []string
	baseArgs []string // arguments without --listen and --log-file
}

// Deployment is a set of entry VMs and stand-ins that run as processes on loopback.
type Deployment struct {
	Layout   Layout
	Dir      string
	VMs      []*VM
	Engines  []*Backend
	Services []*Backend
	Store    *Backend
	Scoring  *Backend

	opts   Options
	client *http.Client
}

const (
	defaultReadyWithin = 20 * time.Second
	commandTimeout     = 15 * time.Second // of one command or HTTP request
	operatorName       = "harness"
)

// BinDir returns the folder of the running program, where make build puts all binaries.
func BinDir() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("find the folder of the binaries: %w", err)
	}
	return filepath.Dir(path), nil
}

// Start starts a deployment and imports its table. On an error, it kills every process that it started.
func Start(ctx context.Context, opts Options) (*Deployment, error) {
	if opts.ReadyWithin == 0 {
		opts.ReadyWithin = defaultReadyWithin
	}
	d := &Deployment{Layout: opts.Layout, opts: opts, Dir: opts.Dir, client: &http.Client{Timeout: commandTimeout}}
	if err := d.makeDir(); err != nil {
		return nil, err
	}
	if err := d.start(ctx); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

// makeDir creates the deployment's folder. The processes run in it, so the binaries need absolute paths.
func (d *Deployment) makeDir() error {
	var err error
	for _, path := range []*string{&d.opts.Filbertledge, &d.opts.Standin} {
		if *path, err = filepath.Abs(*path); err != nil {
			return fmt.Errorf("find the binaries: %w", err)
		}
	}
	if d.Dir == "" {
		d.Dir, err = os.MkdirTemp("", "filbertledge-"+d.Layout.Name+"-")
	} else {
		d.Dir, err = filepath.Abs(d.Dir)
	}
	if err != nil {
		return fmt.Errorf("create the deployment's folder: %w", err)
	}
	return os.MkdirAll(d.Dir, 0o755)
}

func (d *Deployment) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.opts.ReadyWithin)
	defer cancel()
	steps := []func(context.Context) error{d.startStores, d.prepareVMs, d.createKeys, d.startVMs, d.startBackends, d.waitReady, d.loadTable}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startStores(ctx context.Context) error {
	d.Store = d.newBackend(BackendSpec{ID: "weightstore"}, "weightstore")
	d.Scoring = d.newBackend(BackendSpec{ID: "scoring"}, "scoring")
	if err := d.Store.launch(ctx); err != nil {
		return err
	}
	return d.Scoring.launch(ctx)
}

func (d *Deployment) newBackend(spec BackendSpec, args ...string) *Backend {
	return &Backend{BackendSpec: spec, baseArgs: args, Process: newProcess(d.Dir, spec.ID, d.opts.Standin)}
}

// launch starts a stand-in and reads its address from its first line of output. On a restart it reuses the address.
func (b *Backend) launch(ctx context.Context) error {
	args := append([]string{}, b.baseArgs...)
	if b.Address != "" {
		args = append(args, "--listen", b.Address)
	}
	if b.Pool != "" {
		file := filepath.Join(b.dir, fmt.Sprintf("%s.%d.jsonl", b.ID, len(b.logFiles)+1))
		b.logFiles = append(b.logFiles, file)
		args = append(args, "--log-file", file)
	}
	b.args = args
	if err := b.Process.Start(); err != nil {
		return err
	}
	line, err := b.firstLine(ctx)
	if err != nil {
		return err
	}
	var started struct {
		Address string `json:"address"`
	}
	if err := json.Unmarshal([]byte(line), &started); err != nil {
		return fmt.Errorf("decode the address of %s from %q: %w", b.ID, line, err)
	}
	b.Address = started.Address
	return nil
}

// Restart starts an exited stand-in at its previous address, as a new incarnation.
func (b *Backend) Restart(ctx context.Context) error { return b.launch(ctx) }

// prepareVMs assigns listen addresses to the entry VMs and writes their settings files.
func (d *Deployment) prepareVMs(context.Context) error {
	addresses, err := freeAddresses(3 * len(d.Layout.VMs))
	if err != nil {
		return err
	}
	for i, spec := range d.Layout.VMs {
		vm := &VM{VMSpec: spec, HTTP: addresses[3*i], Internal: addresses[3*i+1], Metrics: addresses[3*i+2]}
		vm.Process = newProcess(d.Dir, spec.Name, d.opts.Filbertledge, "serve", "--config", spec.Name+".toml")
		d.VMs = append(d.VMs, vm)
	}
	for _, vm := range d.VMs {
		if err := d.writeSettings(vm); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) createKeys(ctx context.Context) error {
	if _, err := d.RunCommand(ctx, "keys", "init", "--dir", keysDir); err != nil {
		return err
	}
	for _, vm := range d.VMs {
		if _, err := d.RunCommand(ctx, "keys", "issue", "--dir", keysDir, "--role", "vm", "--name", vm.Name, "--ip", "127.0.0.1"); err != nil {
			return err
		}
	}
	_, err := d.RunCommand(ctx, "keys", "issue", "--dir", keysDir, "--role", "operator", "--name", operatorName)
	return err
}

func (d *Deployment) startVMs(context.Context) error {
	for _, vm := range d.VMs {
		if err := vm.Process.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startBackends(ctx context.Context) error {
	for i, spec := range d.Layout.Engines {
		args := append(d.backendArgs("engine", spec, i), "--model", d.Layout.Model, "--store", "http://"+d.Store.Address)
		d.Engines = append(d.Engines, d.newBackend(spec, append(args, d.opts.EngineArgs...)...))
	}
	for i, spec := range d.Layout.Services {
		args := d.backendArgs("service", spec, len(d.Layout.Engines)+i)
		d.Services = append(d.Services, d.newBackend(spec, append(args, d.opts.ServiceArgs...)...))
	}
	for _, b := range d.Backends() {
		if err := b.launch(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) backendArgs(kind string, spec BackendSpec, index int) []string {
	return []string{
		kind, "--id", spec.ID, "--pool", spec.Pool, "--failure-domain", spec.Domain, "--token", Token(spec.Pool),
		"--entry", strings.Join(d.entries(spec.Domain), ","), "--capacity", strconv.Itoa(spec.Capacity), "--seed", strconv.Itoa(index + 1),
	}
}

// entries returns the entry VM addresses that a backend server is configured with: those in its own failure domain
// and one in another. The answers to its announcements tell it which other entry VMs it may use.
func (d *Deployment) entries(domain string) []string {
	var own, other []string
	for _, vm := range d.VMs {
		if vm.Domain == domain {
			own = append(own, vm.HTTP)
		} else {
			other = append(other, vm.HTTP)
		}
	}
	return append(own, other[:min(1, len(other))]...)
}

// Backends returns the backend servers: the engines, then the services.
func (d *Deployment) Backends() []*Backend {
	return append(append([]*Backend{}, d.Engines...), d.Services...)
}

func (d *Deployment) waitReady(ctx context.Context) error {
	for _, vm := range d.VMs {
		if err := d.WaitReady(ctx, vm); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until an entry VM reports that it is ready.
func (d *Deployment) WaitReady(ctx context.Context, vm *VM) error {
	for {
		if d.Ready(ctx, vm) {
			return nil
		}
		if !vm.Running() {
			return fmt.Errorf("%s exited before it was ready: %s", vm.Name, lastBytes(vm.Log()))
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return fmt.Errorf("%s is not ready: %w; its log ends with: %s", vm.Name, err, lastBytes(vm.Log()))
		}
	}
}

// Ready reports whether an entry VM answers GET /readyz with 200.
func (d *Deployment) Ready(ctx context.Context, vm *VM) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.HTTP+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// RestartVM starts an exited entry VM again and waits until it is ready.
func (d *Deployment) RestartVM(ctx context.Context, vm *VM) error {
	if err := vm.Process.Start(); err != nil {
		return err
	}
	return d.WaitReady(ctx, vm)
}

func (d *Deployment) loadTable(ctx context.Context) error {
	if d.opts.SkipTable {
		return nil
	}
	csv, err := d.Layout.TableCSV("http://" + d.Scoring.Address + "/score")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(d.Dir, "table.csv"), []byte(csv), 0o644); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	_, err = d.RunOperatorCommand(ctx, d.VMs[0], "table", "import", "table.csv")
	return err
}

// RunOperatorCommand runs a filbertledge command against an entry VM with the operator's certificate and returns its
// standard output.
func (d *Deployment) RunOperatorCommand(ctx context.Context, vm *VM, args ...string) (string, error) {
	files := certPaths(operatorName)
	return d.RunCommand(ctx, append(args, "--server", vm.Internal, "--ca", files.CA, "--cert", files.Cert, "--key", files.Key)...)
}

// RunCommand runs the filbertledge command line in the deployment's folder and returns its standard output.
func (d *Deployment) RunCommand(ctx context.Context, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, d.opts.Filbertledge, args...)
	cmd.Dir = d.Dir
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); err != nil {
		return stdout.String(), fmt.Errorf("filbertledge %s: %w: %s", strings.Join(args, " "), err, lastBytes(stderr.String()))
	}
	return stdout.String(), nil
}

// Close kills all processes of the deployment and removes its folder unless Options.Keep is set.
func (d *Deployment) Close() error {
	var list []*Process
	for _, vm := range d.VMs {
		list = append(list, vm.Process)
	}
	for _, b := range append(d.Backends(), d.Store, d.Scoring) {
		if b != nil {
			list = append(list, b.Process)
		}
	}
	errs := make([]error, len(list))
	var wg sync.WaitGroup
	for i, p := range list {
		wg.Go(func() { errs[i] = p.Kill() })
	}
	wg.Wait()
	d.client.CloseIdleConnections()
	if !d.opts.Keep {
		errs = append(errs, os.RemoveAll(d.Dir))
	}
	return errors.Join(errs...)
}

// Finish closes the deployment after a run. If the run returned an error or broke a promise, the folder with the logs
// is kept, and its path is printed with the seed so that the run can be repeated.
func (d *Deployment) Finish(promisesKept bool, seed uint64, runErr error) error {
	if !promisesKept || runErr != nil {
		d.opts.Keep = true
		fmt.Fprintf(os.Stderr, "the run with seed %d failed; its logs are kept in %s\n", seed, d.Dir)
	}
	closeErr := d.Close()
	if runErr != nil {
		return runErr
	}
	return closeErr
}
