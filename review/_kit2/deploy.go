// Package main runs the cases of review/REPORT-2.md: a small deployment of the project's own processes on loopback
// addresses, with stand-ins for the platform, the operator, the servers and the callers.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	binary       = "target/filbertledge"
	host         = "ficu95.example"
	restartDelay = 300 * time.Millisecond
)

// sheet holds the figures of a site that the settings of a small deployment take over.
type sheet struct {
	entryMB, stateMB                             int // memory-mb of an edge machine and of a storage machine
	contactMS, ackMS, drainMS, applyMS, recoverS int
	catchUpS                                     float64
	skewMS                                       int
	fenced                                       bool
}

// Figures of sites/noelasilm-ops.toml and demands/cpte-rollouts-grown.toml.
var (
	noelasilm = sheet{entryMB: 134, stateMB: 164, contactMS: 3000, ackMS: 4000, drainMS: 2000, applyMS: 2000, recoverS: 12, catchUpS: 5.2, skewMS: 5000, fenced: true}
	cpte      = sheet{entryMB: 144, stateMB: 314, contactMS: 4000, ackMS: 5000, drainMS: 2500, applyMS: 2500, recoverS: 15, catchUpS: 6, skewMS: 6000, fenced: false}
)

// record writes what was sent, answered and run to the file that the script names.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func openRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// node is one process on one machine.
type node struct {
	d      *deployment
	name   string
	role   string // entry or state
	ip     string
	zone   string
	memory int // memory-mb
	file   string
	data   string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool // not to be started again
	// overLimit counts how often the platform ended the process because it used more than memory-mb.
	overLimit int
	ownEnds   int
	peakMB    float64
}

// deployment is a small deployment: three state VMs and some entry VMs.
type deployment struct {
	record  *record
	sheet   sheet
	folder  string
	ports   [20]int
	prefix  string // of the addresses of the machines
	entries []*node
	states  []*node
	// enforceMemory makes the platform end processes that use more than memory-mb.
	enforceMemory bool
	done          chan struct{}
}

// freePorts returns a base of 20 consecutive ports that are free on all given addresses.
func freePorts(ips []string) (int, error) {
	for range 200 {
		base := 20000 + rand.IntN(12000)
		free := true
		for _, ip := range ips {
			for p := base; p < base+20 && free; p++ {
				ln, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(p)))
				if err != nil {
					free = false
					break
				}
				ln.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

func startDeployment(r *record, sheet sheet, entries int, enforceMemory bool) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, sheet: sheet, folder: folder, enforceMemory: enforceMemory, done: make(chan struct{})}
	d.prefix = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))
	zones := []string{"tln-a", "tln-b", "tln-c"}
	var ips []string
	for i := range 3 {
		d.states = append(d.states, &node{d: d, role: "state", name: "storage-" + zones[i] + "-1", ip: d.prefix + strconv.Itoa(10+i), zone: zones[i], memory: sheet.stateMB})
	}
	for i := range entries {
		d.entries = append(d.entries, &node{d: d, role: "entry", name: fmt.Sprintf("edge-%s-%d", zones[i%3], 1+i/3), ip: d.prefix + strconv.Itoa(30+i), zone: zones[i%3], memory: sheet.entryMB})
	}
	for _, n := range d.all() {
		ips = append(ips, n.ip)
	}
	base, err := freePorts(ips)
	if err != nil {
		return nil, err
	}
	for i := range d.ports {
		d.ports[i] = base + i
	}
	for _, n := range d.all() {
		n.file = filepath.Join(folder, n.name+".toml")
		if n.role == "state" {
			n.data = filepath.Join(folder, n.name)
			if err := os.MkdirAll(n.data, 0o700); err != nil {
				return nil, err
			}
		}
		if err := n.writeSettings(true); err != nil {
			return nil, err
		}
	}
	for _, n := range d.all() {
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *deployment) all() []*node { return append(append([]*node{}, d.states...), d.entries...) }

func (n *node) control() string { return net.JoinHostPort(n.ip, strconv.Itoa(n.d.ports[16])) }
func (n *node) ingress() string { return net.JoinHostPort(n.ip, strconv.Itoa(n.d.ports[17])) }
func (n *node) ready() string   { return net.JoinHostPort(n.ip, strconv.Itoa(n.d.ports[18])) }

func (n *node) writeSettings(bootstrap bool) error {
	var seeds []string
	for _, s := range n.d.states {
		seeds = append(seeds, strconv.Quote(s.control()))
	}
	class, serves, listen := "storage", `["control","storage"]`, fmt.Sprintf("control-plane = %q", n.control())
	disk, counted, fds := 610, "true", 8200
	if n.role == "entry" {
		class, serves, listen = "edge", `["edge"]`, fmt.Sprintf("ingress = %q\nreadiness = %q", n.ingress(), n.ready())
		disk, counted, fds = 0, "false", 4100
	}
	dataDir := ""
	if n.data != "" {
		dataDir = fmt.Sprintf("data-dir = %q\n", n.data)
	}
	text := fmt.Sprintf(`node-name = %q
role = %q
machine-class = %q
serves = %s
ip = %q
zone = %q
region = "tallinn"
port-range = [%d,%d]
seeds = [%s]
bootstrap = %t
fault-counted = %s
discovery = "registration"
entrypoint = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","recover","samples","stream","engine","batch"]
config-mode = "highest"
%s[zones]
tln-a = "tallinn"
tln-b = "tallinn"
tln-c = "tallinn"
[listen]
%s
[limits]
cpu-fraction = 0.4
cpu-cores = 1
memory-mb = %d
max-fds = %d
link-mbps = 1000.0
disk-mb = %d
[fault-tolerance]
nodes = 1
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = %d
ack-ms = %d
catch-up-s = %g
drain-ms = %d
grace-s = 8
loss-slack-ms = 200
config-apply-ms = %d
rollback-slack-ms = 250
max-skew-ms = %d
recover-s = %d
pass-ms = 120
retry-after-s = 0
finish-s = 10
retention-s = 120
cancel-ms = 3000
settle-ms = 1000
quota-overage = 0.1
fencing-enforced = %t
lease-ms = 3000
thaw-ms = 300
`, n.name, n.role, class, serves, n.ip, n.zone, n.d.ports[0], n.d.ports[15], strings.Join(seeds, ","), bootstrap, counted, dataDir, listen, n.memory, fds, disk,
		n.d.sheet.contactMS, n.d.sheet.ackMS, n.d.sheet.catchUpS, n.d.sheet.drainMS, n.d.sheet.applyMS, n.d.sheet.skewMS, n.d.sheet.recoverS, n.d.sheet.fenced)
	return os.WriteFile(n.file, []byte(text), 0o600)
}

// start starts the process and watches it: the platform restarts a process that ends, and ends one that uses too much memory.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command(binary, n.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.d.folder, "FILBERTLEDGE_NODE_FILE=" + n.file}
	log, err := os.OpenFile(filepath.Join(n.d.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.exited = cmd, make(chan struct{})
	exited := n.exited
	n.d.record.add("%s: process %d started", n.name, cmd.Process.Pid)
	killed := false
	go func() {
		for {
			select {
			case <-exited:
				return
			case <-time.After(5 * time.Millisecond):
			}
			mb := anonymousMB(cmd.Process.Pid)
			n.mu.Lock()
			n.peakMB = max(n.peakMB, mb)
			if n.d.enforceMemory && mb > float64(n.memory) && !killed {
				killed = true
				n.overLimit++
				n.d.record.add("%s: process %d uses %.0f MB of anonymous memory, memory-mb is %d: the platform kills it", n.name, cmd.Process.Pid, mb, n.memory)
				_ = cmd.Process.Kill()
			}
			n.mu.Unlock()
		}
	}()
	go func() {
		err := cmd.Wait()
		log.Close()
		close(exited)
		n.mu.Lock()
		stopped := n.stopped
		if !stopped && !killed {
			n.ownEnds++
			n.d.record.add("%s: process %d ended: %v", n.name, cmd.Process.Pid, err)
		}
		n.mu.Unlock()
		if stopped {
			return
		}
		select {
		case <-n.d.done:
		case <-time.After(restartDelay):
			if err := n.start(); err != nil {
				n.d.record.add("%s: cannot start: %v", n.name, err)
			}
		}
	}()
	return nil
}

// anonymousMB returns the anonymous resident memory of a process, without the pages of files that it maps.
func anonymousMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.d.record.add("%s: %v sent", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// stop ends the deployment.
func (d *deployment) stop() {
	close(d.done)
	for _, n := range d.all() {
		n.mu.Lock()
		n.stopped = true
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
		}
		exited := n.exited
		n.mu.Unlock()
		if exited != nil {
			<-exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs:", d.folder)
	}
}

// call sends one request on a new connection.
func call(method, address, hostHeader, path string, header map[string]string, body []byte, timeout time.Duration) (int, http.Header, []byte, error) {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	if hostHeader != "" {
		req.Host = hostHeader
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, data, err
}

// toControl sends a call of the operator, the trainer or a server to the state VMs, one after the other, until one acknowledges
// it. The first one tried is given.
func (d *deployment) toControl(first int, method, path string, body any, until time.Duration) error {
	data, _ := json.Marshal(body)
	if body == nil {
		data = nil
	}
	deadline := time.Now().Add(until)
	for i := first; ; i++ {
		n := d.states[i%len(d.states)]
		status, _, text, err := call(method, n.control(), "", path, map[string]string{"Content-Type": "application/json"}, data, time.Second)
		if err == nil && status/100 == 2 {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s %s: %d %s %v", method, path, status, text, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// waitReady waits until all entry VMs are ready.
func (d *deployment) waitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, n := range d.entries {
		for {
			status, _, _, err := call("GET", n.ready(), "", "/readyz", nil, nil, time.Second)
			if err == nil && status == 200 {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready: %d %v", n.name, status, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
