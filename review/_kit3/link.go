package main

import (
	"net"
	"sync"
	"time"
)

// link is the path from the servers to one VM. While it is cut, bytes are held up, as they are by TCP behind a partition. They go on
// with the first retransmission after the cut has healed, also if their sender has closed the channel in order: TCP sends again
// after 0.2 s, and then after twice as long each time.
type link struct {
	rec    *recorder
	addr   string // where the servers connect
	target string
	ln     net.Listener

	mu    sync.Mutex
	isCut bool
}

func newLink(rec *recorder, target string) *link {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	l := &link{rec: rec, addr: ln.Addr().String(), target: target, ln: ln}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go l.serve(nc)
		}
	}()
	return l
}

func (l *link) cut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = on
}

// wait returns at once if there is no cut, and otherwise with the first retransmission after its end of what is sent now.
func (l *link) wait() {
	sent, next := time.Now(), 200*time.Millisecond
	for l.isDown() {
		time.Sleep(time.Until(sent.Add(next)))
		next = 2*next + 200*time.Millisecond // the sum of all delays so far
	}
}

func (l *link) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isCut
}

func (l *link) serve(nc net.Conn) {
	defer nc.Close()
	l.wait()
	out, err := net.Dial("tcp4", l.target)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		l.pass(nc, out)
		nc.Close()
	}()
	l.pass(out, nc)
	if tcp, ok := out.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	time.Sleep(time.Second) // for the answer
}

// pass passes bytes from one connection to the other.
func (l *link) pass(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			l.wait()
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *link) close() { l.ln.Close() }
