package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

func init() { cases["deregister"] = runDeregister }

// deregister sends the message that the server leaves, first to the given VM, and to the next one after a second without an answer.
func (s *server) deregister(first int, path *link) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range len(s.d.state) {
		v := s.d.state[(first+i)%len(s.d.state)]
		addr := fmt.Sprintf("%s:%d", v.ip, controlPort)
		if i == 0 {
			addr = path.addr
		}
		resp, err := client.Post("http://"+addr+"/instances/"+s.id+"/deregister", "application/json", bytes.NewReader(nil))
		if err != nil {
			s.rec.logf("%s deregisters at %s: no answer in time", s.id, v.name)
			continue
		}
		resp.Body.Close()
		s.rec.logf("%s deregisters at %s: %d", s.id, v.name, resp.StatusCode)
		if resp.StatusCode/100 == 2 {
			return
		}
	}
}

// runDeregister: engines restart in place, one after the other, while the zone of one state VM is cut off. What they sent to it arrives
// when the cut has healed.
func runDeregister(e *env) (result, error) {
	d, err := newDeploymentWith(e.rec, e.binary, 1, true)
	if d != nil {
		defer d.stop(os.Getenv("KEEP") != "")
	}
	if err != nil {
		return result{}, err
	}
	g := newEngines(e.rec, 10, 100*time.Millisecond)
	const slots = 4
	var list [2]*server
	for i := range list {
		if list[i], err = startServer(d, fmt.Sprintf("i-llm%d", i), "llm", zones[0], slots, "m0", g.serve); err != nil {
			return result{}, err
		}
	}
	defer func() {
		for _, s := range list {
			s.stop()
		}
	}()
	status, body, err := d.control("POST", "/config/replace", manifest(3, []map[string]any{llmService(slots)}, rolloutRoute()), 20*time.Second)
	if err != nil || status != 200 {
		return result{}, fmt.Errorf("manifest: %d %s %v", status, body, err)
	}
	if err := d.waitReady(10 * time.Second); err != nil {
		return result{}, err
	}
	time.Sleep(3 * time.Second)
	list[0].mu.Lock()
	leader := list[0].beatTo
	list[0].mu.Unlock()
	follower := -1
	for i, v := range d.state { // not in the zone of the servers and the entry VM
		if i > 0 && leader != "" && !strings.HasPrefix(leader, v.ip+":") {
			follower = i
		}
	}
	if follower < 0 {
		return result{}, fmt.Errorf("no leader is known after 3 s")
	}
	e.rec.logf("servers were told to announce themselves at %s; %s is another state VM", leader, d.state[follower].name)

	const cut = 6400 * time.Millisecond
	healedAt := time.Now().Add(cut)
	path := newLink(e.rec, fmt.Sprintf("%s:%d", d.state[follower].ip, controlPort))
	defer path.close()
	if e.trouble {
		path.cut(true)
		d.cuts.cut(d.state[follower])
		e.rec.logf("the zone of %s is cut off from the others for %s", d.state[follower].name, cut)
		time.AfterFunc(cut, func() {
			path.cut(false)
			d.cuts.cut(nil)
			e.rec.logf("the zone of %s is connected again", d.state[follower].name)
		})
	}
	for i, s := range list {
		s.deregister(follower, path)
		time.Sleep(2100 * time.Millisecond) // drain-ms after the ack and a little longer
		s.stop()
		e.rec.logf("%s exits", s.id)
		time.Sleep(150 * time.Millisecond)
		if list[i], err = startServer(d, s.id, "llm", s.zone, slots, "m0", g.serve); err != nil {
			return result{}, err
		}
		e.rec.logf("%s starts again under its id, born %d", s.id, list[i].born)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Until(healedAt.Add(1500 * time.Millisecond)))
	doc, ids := batchDoc("b1", 56, 0)
	submitted := time.Now()
	if err := d.submit("b1", doc, 3*time.Second); err != nil {
		return result{}, err
	}
	steadyFrom := healedAt.Add(3 * time.Second) // contact-ms
	stepEnd := submitted.Add(12 * time.Second)
	// The longest time that an open item was at no server, in steady state and while the servers were under half full.
	idle, longest := map[string]time.Duration{}, time.Duration(0)
	worst, listed, last := "", 0, time.Now()
	for time.Now().Before(stepEnd) {
		outputs, _, err := d.read(0, "b1", listed)
		if err == nil {
			listed += len(outputs)
		}
		now := time.Now()
		for _, id := range ids {
			g.mu.Lock()
			done, at := g.done[id], g.running[id] > 0
			g.mu.Unlock()
			if done || at || now.Before(steadyFrom) || g.inWork()*2 >= 2*slots {
				idle[id] = 0
				continue
			}
			if idle[id] += now.Sub(last); idle[id] > longest {
				longest, worst = idle[id], id
			}
		}
		last = now
		if listed == len(ids) {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	g.mu.Lock()
	begun := len(g.begun)
	g.mu.Unlock()
	e.rec.logf("%d of %d items listed, %d had begun, %s after the submission", listed, len(ids), begun, time.Since(submitted).Round(time.Millisecond))
	broken := listed < len(ids) && begun > 0 && begun < len(ids) && longest >= 5*time.Second
	return result{broken: broken, detail: fmt.Sprintf("%d of %d items listed, %d begun; longest at no server in steady state: %s (%s)", listed, len(ids), begun, longest.Round(10*time.Millisecond), worst)}, nil
}
