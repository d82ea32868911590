package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// firstStart: one of the three state VMs is lost for good right after the first start of the whole system, and an empty machine
// takes its place at another address one second later. Then the operator sends the first manifest and consumers send requests.
func firstStart(r *record, trouble bool) int {
	d, err := startDeployment(r, noelasilm, 3, false)
	if err != nil {
		return failed(r, err)
	}
	deploymentToStop = d
	defer d.stop()
	if trouble {
		lost := d.states[2]
		lost.mu.Lock()
		lost.stopped = true
		lost.mu.Unlock()
		lost.signal(syscall.SIGKILL)
		r.add("%s is lost for good", lost.name)
		time.Sleep(time.Second)
		n := &node{d: d, role: "state", name: "storage-tln-c-2", ip: d.prefix + "20", zone: "tln-c", memory: d.sheet.stateMB}
		n.file, n.data = filepath.Join(d.folder, n.name+".toml"), filepath.Join(d.folder, n.name)
		if err := os.MkdirAll(n.data, 0o700); err != nil {
			return failed(r, err)
		}
		if err := n.writeSettings(false); err != nil {
			return failed(r, err)
		}
		if err := n.start(); err != nil {
			return failed(r, err)
		}
		d.states[2] = n
		r.add("%s, an empty machine at %s, has taken its place", n.name, n.ip)
	}
	s, err := d.startServer("i-00wuno", shopService, "tln-a", "", 12)
	if err != nil {
		return failed(r, err)
	}
	go s.announce()
	acked := make(chan error, 1)
	go func() { acked <- d.toControl(0, "POST", "/config/replace", manifest(1), 70*time.Second) }()
	answers := map[int]int{}
	for i := 0; time.Since(r.start) < 80*time.Second && answers[200] < 50; i++ {
		n := d.entries[i%len(d.entries)]
		status, _, _, err := call("POST", n.ingress(), host, shopPrefix+"2f", map[string]string{"Attempt-Id": fmt.Sprintf("a%04d", i), "Deadline-Ms": "2000"}, []byte("order"), 2*time.Second)
		if err != nil {
			status = 0
		}
		answers[status]++
		if i%20 == 0 {
			r.add("consumer: request a%04d at %s: %d; so far by status (0: none): %v", i, n.name, status, answers)
		}
		time.Sleep(200 * time.Millisecond)
	}
	select {
	case err := <-acked:
		r.add("operator: the first manifest: acknowledged %t, %v", err == nil, err)
	default:
		r.add("operator: the first manifest has no ack yet")
	}
	r.add("answers to consumers by status (0: none): %v", answers)
	if answers[200] == 0 {
		r.add("rule Fault is broken: no request is served")
		return broken
	}
	return held
}
