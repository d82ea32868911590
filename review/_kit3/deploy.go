package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	controlPort = 8262
	ingressPort = 8263
	probePort   = 8268
	peerPort    = 7300
	metricsPort = 9464
	beatEvery   = 1200 * time.Millisecond
)

// recorder writes what was sent, answered and run to record.txt.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// vm is one machine of the deployment with its process.
type vm struct {
	name, role, zone, ip string
	folder               string
	bootstrap            bool
	log                  *os.File
	mu                   sync.Mutex
	cmd                  *exec.Cmd
	ended                chan struct{}
}

// deployment is a small deployment: three state VMs in three zones and some entry VMs, as separate processes on loopback addresses.
type deployment struct {
	rec    *recorder
	folder string
	state  []*vm
	entry  []*vm
	seeds  []string
	binary string
	cuts   *cutoff // between the VMs; nil if they connect directly
}

func init() { runtime.LockOSThread() } // a child ends with the thread that started it

var zones = []string{"zone-a", "zone-b", "zone-c"}

// newDeployment chooses addresses whose ports are free and starts all processes.
func newDeployment(rec *recorder, binary string, entries int) (*deployment, error) {
	return newDeploymentWith(rec, binary, entries, false)
}

// newDeploymentWith is newDeployment with proxies between the VMs if cuttable is true.
func newDeploymentWith(rec *recorder, binary string, entries int, cuttable bool) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, folder: folder, binary: binary}
	prefix, err := freePrefix(3 + entries)
	if err != nil {
		return nil, err
	}
	for i := range 3 {
		d.state = append(d.state, &vm{name: "storage-" + zones[i] + "-1", role: "state", zone: zones[i], ip: fmt.Sprintf("%s.%d", prefix, 10+i), bootstrap: true})
		d.seeds = append(d.seeds, fmt.Sprintf("%s.%d:%d", prefix, 10+i, controlPort))
	}
	for i := range entries {
		d.entry = append(d.entry, &vm{name: fmt.Sprintf("edge-%s-%d", zones[i%3], 1+i/3), role: "entry", zone: zones[i%3], ip: fmt.Sprintf("%s.%d", prefix, 20+i)})
	}
	if cuttable {
		d.cuts = &cutoff{rec: rec, d: d}
		for _, v := range d.all() {
			if err := d.cuts.start(v); err != nil {
				return nil, err
			}
		}
	}
	for _, v := range d.all() {
		if err := d.start(v); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// freePrefix returns the first three parts of loopback addresses on which no port that the deployment uses is taken.
func freePrefix(n int) (string, error) {
	for try := range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+try*7)%200, 1+(os.Getpid()/200+try)%250)
		free := true
		for i := range n + 12 {
			for _, port := range []int{controlPort, ingressPort, probePort, peerPort, metricsPort} {
				ln, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", prefix, 10+i, port))
				if err != nil {
					free = false
					break
				}
				ln.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no loopback addresses with free ports")
}

func (d *deployment) all() []*vm { return append(append([]*vm{}, d.state...), d.entry...) }

func (d *deployment) settings(v *vm) string {
	var b strings.Builder
	class, serves, memory, fds := "edge", `["edge"]`, 284, 4100
	if v.role == "state" {
		class, serves, memory, fds = "storage", `["control","storage"]`, 294, 8200
	}
	fmt.Fprintf(&b, "node-name = %q\nrole = %q\nmachine-class = %q\nserves = %s\nip = %q\nzone = %q\nregion = \"here\"\n", v.name, v.role, class, serves, v.ip, v.zone)
	fmt.Fprintf(&b, "port-range = [%d,%d]\nseeds = [%q,%q,%q]\nbootstrap = %t\nfault-counted = %t\n", peerPort, peerPort+15, d.seeds[0], d.seeds[1], d.seeds[2], v.bootstrap, v.role == "state")
	fmt.Fprintf(&b, "discovery = \"registration\"\nentrypoint = \"vip\"\nheartbeat-ms = %d\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"samples\",\"stream\",\"engine\",\"batch\"]\nconfig-mode = \"highest\"\n", beatEvery.Milliseconds())
	if v.role == "state" {
		fmt.Fprintf(&b, "data-dir = %q\n", filepath.Join(v.folder, "data"))
	}
	fmt.Fprintf(&b, "[zones]\nzone-a = \"here\"\nzone-b = \"here\"\nzone-c = \"here\"\n[listen]\n")
	if v.role == "state" {
		fmt.Fprintf(&b, "control-plane = \"%s:%d\"\n", v.ip, controlPort)
	} else {
		fmt.Fprintf(&b, "ingress = \"%s:%d\"\nreadiness = \"%s:%d\"\n", v.ip, ingressPort, v.ip, probePort)
	}
	if d.cuts != nil {
		fmt.Fprintf(&b, "link = \"%s:%d\"\n", v.ip, innerPort)
	}
	fmt.Fprintf(&b, "[limits]\ncpu-fraction = 0.4\ncpu-cores = 1\nmemory-mb = %d\nmax-fds = %d\nlink-mbps = 1000.0\ndisk-mb = %d\n", memory, fds, map[string]int{"state": 370, "entry": 0}[v.role])
	b.WriteString("[fault-tolerance]\nnodes = 1\nzones = 1\nregions = 0\n[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 3000\nack-ms = 4000\ncatch-up-s = 4.4\ndrain-ms = 2000\ngrace-s = 8\nloss-slack-ms = 200\nconfig-apply-ms = 2000\nrollback-slack-ms = 250\nmax-skew-ms = 5000\nrecover-s = 12\npass-ms = 120\nretry-after-s = 0\nfinish-s = 10\nretention-s = 120\ncancel-ms = 3000\nsettle-ms = 1000\nquota-overage = 0.1\nfencing-enforced = true\nlease-ms = 3000\nthaw-ms = 300\n")
	return b.String()
}

// start starts the process of a VM, the first time or again.
func (d *deployment) start(v *vm) error {
	if v.folder == "" {
		v.folder = filepath.Join(d.folder, v.name)
		if err := os.MkdirAll(filepath.Join(v.folder, "data"), 0o700); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(v.folder, "log.txt"))
		if err != nil {
			return err
		}
		v.log = log
	}
	path := filepath.Join(v.folder, "local.toml")
	if err := os.WriteFile(path, []byte(d.settings(v)), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(d.binary, v.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FILBERTLEDGE_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = v.log, v.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.ended = cmd, ended
	v.mu.Unlock()
	v.bootstrap = false
	go func() {
		err := cmd.Wait()
		d.rec.logf("process of %s ended: %v", v.name, err)
		close(ended)
	}()
	d.rec.logf("started %s (%s) at %s, pid %d", v.name, v.role, v.ip, cmd.Process.Pid)
	return nil
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(s)
	}
}

func (v *vm) pid() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil {
		return 0
	}
	return v.cmd.Process.Pid
}

// running reports whether the process of the VM still runs.
func (v *vm) running() bool {
	select {
	case <-v.ended:
		return false
	default:
		return true
	}
}

// stop ends all processes and removes the folder.
func (d *deployment) stop(keepLogs bool) {
	for _, v := range d.all() {
		if v.cmd != nil {
			v.signal(syscall.SIGCONT)
			v.signal(syscall.SIGKILL)
			<-v.ended
		}
		if v.log != nil {
			v.log.Close()
		}
	}
	if keepLogs {
		d.rec.logf("logs of the processes are in %s", d.folder)
		return
	}
	_ = os.RemoveAll(d.folder)
}

// control calls the operator's API as an operator does: at one node after the other until there is a clear answer.
func (d *deployment) control(method, path string, body any, limit time.Duration) (int, []byte, error) {
	data, _ := json.Marshal(body)
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(limit)
	for i := 0; ; i++ {
		v := d.state[i%len(d.state)]
		req, _ := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", v.ip, controlPort, path), bytes.NewReader(data))
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err == nil {
			answer, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode < 500 && resp.StatusCode != 408 && resp.StatusCode != 429 {
				return resp.StatusCode, answer, nil
			}
			err = fmt.Errorf("status %d: %s", resp.StatusCode, answer)
		}
		if time.Now().After(deadline) {
			return 0, nil, err
		}
		time.Sleep(150 * time.Millisecond)
	}
}

// waitReady waits until all entry VMs report themselves ready.
func (d *deployment) waitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	client := &http.Client{Timeout: time.Second}
	for _, v := range d.entry {
		for {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", v.ip, probePort))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready: %v", v.name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
