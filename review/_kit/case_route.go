package main

import (
	"fmt"
	"net/http"
	"time"
)

// removedRoute: the operator removes the route of a batch job while its results are within their retention time. Without
// the disruption the same manifest keeps the route and changes only a time-out.
func removedRoute(rec *record, trouble bool) (outcome, error) {
	d, err := newDeployment(rec, 3, 3)
	if err != nil {
		return outcome{}, err
	}
	defer d.stopAll()
	stop, err := d.startEngines(4, func(s *server, c *serverConn, r *http.Request) {
		rec.line("%s runs item %s", s.id, r.Header.Get("Attempt-Id"))
		s.stream(c, r, []string{"a", "b", "c", "d"}, 5*time.Millisecond)
	})
	if err != nil {
		return outcome{}, err
	}
	defer stop()
	if err := d.startAll(newManifest(1, []map[string]any{rolloutRoute(), plainRoute()}, batchBackends())); err != nil {
		return outcome{}, err
	}
	time.Sleep(2500 * time.Millisecond)
	const id = "7c41e09b52d6a3f8"
	if err := d.submit(id, newBatch(id, 0, 16, []byte("prompt")), 10*time.Second); err != nil {
		return outcome{}, fmt.Errorf("the batch job is not accepted: %w", err)
	}
	first, err := d.readAll(id, 20*time.Second)
	if err != nil {
		return outcome{}, fmt.Errorf("the results do not come: %w", err)
	}
	kept := rolloutRoute()
	kept["timeout-ms"] = 9000
	second := newManifest(5, []map[string]any{kept, plainRoute()}, batchBackends())
	if trouble {
		second.Routes = []map[string]any{plainRoute()}
	}
	if err := d.configure(second, 10*time.Second); err != nil {
		return outcome{}, err
	}
	time.Sleep(4 * time.Second) // config-apply-ms and contact-ms have passed
	missing, differ, reads := 0, 0, 0
	for range 3 {
		for _, e := range d.entries {
			p, a := d.read(e, id, 0)
			reads++
			rec.line("read of %s after 0 at %s, 4 s after the ack and later: %s", id, e.name, a)
			switch {
			case a.status == 404 || a.status == 410:
				missing++
				rec.line("BROKEN: %s answers %d for the batch job: %s", e.name, a.status, a.body)
			case a.status == 200 && (len(p.Outputs) != len(first.Outputs) || p.Outputs[0].ID != first.Outputs[0].ID):
				differ++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	for _, e := range d.entries {
		a := d.call(e, "DELETE", "/lots/"+id, nil, nil, false, 6*time.Second)
		rec.line("end of the batch job at %s: %s (not judged)", e.name, a)
	}
	return outcome{broken: missing+differ > 0, text: fmt.Sprintf("%d reads of a batch job whose %d results had been read: %d answered 404, %d with other results", reads, len(first.Outputs), missing, differ)}, nil
}

// startEngines starts model servers.
func (d *deployment) startEngines(count int, run func(s *server, c *serverConn, r *http.Request)) (stop func(), err error) {
	var list []*server
	stop = func() {
		for _, s := range list {
			s.close()
		}
	}
	for i := range count {
		s, err := d.newServer(fmt.Sprintf("i-44e0a1c%d", i), engineSvc, zones[i%3], 40+i, 16, modelName)
		if err != nil {
			return stop, err
		}
		s.handle = func(c *serverConn, r *http.Request, _ []byte) { run(s, c, r) }
		s.run()
		list = append(list, s)
	}
	return stop, nil
}
