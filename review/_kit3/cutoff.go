package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// cutoff stands between the VMs and can cut one VM off from the others and from the servers, as a cut of its zone does. Behind each
// VM's port for other VMs a proxy passes connections on; those from and to the VM that is cut off go silent, and are reset when the
// cut has healed.
type cutoff struct {
	rec *recorder
	d   *deployment

	mu   sync.Mutex
	off  *vm // the VM that is cut off, or nil
	held []net.Conn
}

// innerPort is where a VM listens for other VMs behind its proxy.
const innerPort = 17300

func (c *cutoff) start(v *vm) error {
	ln, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", v.ip, peerPort))
	if err != nil {
		return err
	}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go c.serve(v, nc)
		}
	}()
	return nil
}

func (c *cutoff) serve(to *vm, nc net.Conn) {
	from := c.d.ownerOf(nc.RemoteAddr().(*net.TCPAddr).Port)
	defer nc.Close()
	if c.isOff(to, from) {
		c.hold(nc)
		return
	}
	out, err := net.Dial("tcp4", net.JoinHostPort(to.ip, strconv.Itoa(innerPort)))
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	pass := func(a, b net.Conn) {
		defer func() { done <- struct{}{} }()
		buf := make([]byte, 64<<10)
		for {
			n, err := b.Read(buf)
			if err != nil {
				return
			}
			if c.isOff(to, from) {
				c.hold(nc)
				return
			}
			if _, err := a.Write(buf[:n]); err != nil {
				return
			}
		}
	}
	go pass(out, nc)
	go pass(nc, out)
	<-done
}

func (c *cutoff) isOff(a, b *vm) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.off != nil && (a == c.off || b == c.off)
}

// hold keeps a connection open and silent until the cut has healed.
func (c *cutoff) hold(nc net.Conn) {
	for {
		c.mu.Lock()
		off := c.off
		c.mu.Unlock()
		if off == nil {
			if tcp, ok := nc.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (c *cutoff) cut(v *vm) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.off = v
}

// ownerOf returns the VM whose process has the connection with a local port, or nil.
func (d *deployment) ownerOf(port int) *vm {
	inode := ""
	data, _ := os.ReadFile("/proc/net/tcp")
	for _, line := range strings.Split(string(data), "\n") {
		f := strings.Fields(line)
		if len(f) > 9 && strings.HasSuffix(f[1], fmt.Sprintf(":%04X", port)) && f[9] != "0" {
			inode = "socket:[" + f[9] + "]"
		}
	}
	if inode == "" {
		return nil
	}
	for _, v := range d.all() {
		dir := fmt.Sprintf("/proc/%d/fd", v.pid())
		entries, _ := os.ReadDir(dir)
		for _, e := range entries {
			if target, _ := os.Readlink(dir + "/" + e.Name()); target == inode {
				return v
			}
		}
	}
	return nil
}
