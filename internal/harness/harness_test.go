package harness

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
)

const fakeProductVariable = "FILBERTLEDGE_HARNESS_FAKE"

// The test binary acts as the filbertledge binary when fakeProductVariable is set, so that the tests cover the harness
// without the real product.
func TestMain(m *testing.M) {
	if os.Getenv(fakeProductVariable) == "" {
		os.Exit(m.Run())
	}
	if err := runFakeProduct(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func runFakeProduct(args []string) error {
	switch strings.Join(args[:2], " ") {
	case "keys init":
		return os.MkdirAll(args[3], 0o700)
	case "keys issue":
		return nil
	case "table import":
		_, err := os.Stat(args[2])
		return err
	case "servers --output":
		fmt.Println(`[{"usable":true},{"usable":true},{"usable":false}]`)
		return nil
	case "serve --config":
		return serveFakeVM(args[2])
	default:
		return fmt.Errorf("unexpected arguments %q", args)
	}
}

func serveFakeVM(path string) error {
	var s settings
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := toml.Unmarshal(b, &s); err != nil {
		return err
	}
	if s.VM.Name == "broken" {
		return fmt.Errorf("the settings are refused")
	}
	http.HandleFunc("GET /readyz", func(http.ResponseWriter, *http.Request) {})
	http.HandleFunc("POST /backend/v1/announce", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_ = os.WriteFile("announced-"+r.Header.Get("Authorization"), body, 0o600)
		fmt.Fprintf(w, `{"vms":[%q]}`, s.Listen.HTTP)
	})
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM) // before it is ready: a test may stop it as soon as it is
	go func() { _ = http.ListenAndServe(s.Listen.HTTP, nil) }()
	<-c
	return nil
}

func buildStandin(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "standin")
	if out, err := exec.Command("go", "build", "-o", path, "filbertledge/cmd/standin").CombinedOutput(); err != nil {
		t.Fatalf("build the stand-in: %v: %s", err, out)
	}
	return path
}

func testOptions(t *testing.T, vms ...VMSpec) Options {
	t.Helper()
	t.Setenv(fakeProductVariable, "1")
	// Without this, the race detector delays the exit of each fake command by one second.
	t.Setenv("GORACE", "atexit_sleep_ms=0")
	return Options{
		Layout: Layout{
			Name: "test", VMs: vms, Model: "m",
			Engines:  []BackendSpec{{ID: "e1", Domain: "a", Pool: "llm", Capacity: 2}},
			Services: []BackendSpec{{ID: "s1", Domain: "b", Pool: "api", Capacity: 2}},
		},
		Filbertledge: os.Args[0],
		Standin:      buildStandin(t),
		Dir:          t.TempDir(),
	}
}

func processGone(pid int) bool { return syscall.Kill(pid, 0) == syscall.ESRCH }

// Guards against processes that Close leaves running, and against a kill, restart or drain that affects the wrong
// process or none.
func TestDeploymentKillsAndRestartsItsProcesses(t *testing.T) {
	ctx := context.Background()
	d, err := Start(ctx, testOptions(t, VMSpec{"v1", "a", true}, VMSpec{"v2", "b", false}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Close() })
	v1, engine := d.VMs[0], d.Engines[0]
	waitFor(t, "both backend servers announce themselves", func() bool {
		for _, pool := range d.Layout.Pools() {
			if _, err := os.Stat(filepath.Join(d.Dir, "announced-Bearer "+Token(pool))); err != nil {
				return false
			}
		}
		return true
	})
	if err := d.WaitForServers(ctx); err != nil {
		t.Error(err)
	}
	resp, err := http.Post("http://"+engine.Address+"/v1/completions", "application/json", strings.NewReader(`{"prompt":"p"}`))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if err := engine.Kill(); err != nil {
		t.Fatal(err)
	}
	seen, err := d.ReadLogs()
	if err != nil || len(seen.Requests) != 1 {
		t.Errorf("the log of a killed engine has %d requests, want 1: %v", len(seen.Requests), err)
	}
	address := engine.Address
	if err := engine.Restart(ctx); err != nil || engine.Address != address {
		t.Errorf("restarted at %s, want %s: %v", engine.Address, address, err)
	}
	if err := v1.Kill(); err != nil || d.Ready(ctx, v1) {
		t.Errorf("a killed VM is ready: %v", err)
	}
	if err := d.RestartVM(ctx, v1); err != nil {
		t.Error(err)
	}
	if err := v1.Drain(); err != nil {
		t.Error(err)
	}
	if err := v1.Wait(ctx); err != nil || v1.ExitCode() != 0 {
		t.Errorf("drained with exit code %d: %v", v1.ExitCode(), err)
	}
	var pids []int
	for _, p := range []*Process{d.VMs[1].Process, engine.Process, d.Services[0].Process, d.Store.Process, d.Scoring.Process} {
		pids = append(pids, p.PID())
	}
	if err := d.Close(); err != nil {
		t.Error(err)
	}
	for _, pid := range pids {
		if !processGone(pid) {
			t.Errorf("process %d outlived the deployment", pid)
		}
	}
}

// Guards against a process that still answers after Freeze has returned, because SIGSTOP is asynchronous.
func TestFrozenVMAnswersOnlyAfterResume(t *testing.T) {
	d, err := Start(context.Background(), testOptions(t, VMSpec{"v1", "a", true}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Close() })
	vm := d.VMs[0]
	if err := vm.Freeze(); err != nil {
		t.Fatal(err)
	}
	short, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if d.Ready(short, vm) {
		t.Error("a frozen VM answered")
	}
	if err := vm.Resume(); err != nil {
		t.Fatal(err)
	}
	if err := d.WaitReady(context.Background(), vm); err != nil {
		t.Error(err)
	}
}

// Guards against a failed start that hides the error message of the process that caused it.
func TestFailedStartReportsVMError(t *testing.T) {
	_, err := Start(context.Background(), testOptions(t, VMSpec{"v1", "a", true}, VMSpec{"broken", "b", false}))
	if err == nil || !strings.Contains(err.Error(), "the settings are refused") {
		t.Errorf("error %v, want the error message of the VM", err)
	}
}

// Guards against layouts in which one failure domain holds a majority of the control replicas.
func TestLayoutsSpreadReplicasOverFailureDomains(t *testing.T) {
	for _, l := range []Layout{Galambkert(), Noelasilm()} {
		replicas, domains := 0, map[string]int{}
		for _, vm := range l.VMs {
			if vm.Replica {
				replicas++
				domains[vm.Domain]++
			}
		}
		for name, n := range domains {
			if 2*n > replicas {
				t.Errorf("%s: failure domain %s holds %d of %d replicas", l.Name, name, n, replicas)
			}
		}
		csv, err := l.TableCSV("http://127.0.0.1:1/score")
		if err != nil || strings.Count(csv, "\n") != len(l.Rows)+1 {
			t.Errorf("%s: table %q: %v", l.Name, csv, err)
		}
	}
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition was not reached within 10 s: %s", what)
}
