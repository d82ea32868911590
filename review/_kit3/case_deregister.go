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
	// contact-ms after the cut has healed
	return d.judgeStep(g, "b1", ids, submitted, healedAt.Add(3*time.Second), 2*slots)
}
