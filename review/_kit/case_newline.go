package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// newline: an event of a stream begins with a line feed, as when a model writes a line break. In a text/event-stream its
// data is sent as several data lines, the first of which is empty. Without the disruption no event begins so.
func newline(rec *record, trouble bool) (outcome, error) {
	d, err := newDeployment(rec, 3, 3)
	if err != nil {
		return outcome{}, err
	}
	defer d.stopAll()
	events := []string{"Dear Ilona,", "\nthe doves", "\n\nleave at ten", "."}
	if !trouble {
		events = []string{"Dear Ilona,", "the doves\nleave", "at ten", "."}
	}
	stop, err := d.startEngines(4, func(s *server, c *serverConn, r *http.Request) {
		done := s.stream(c, r, events, 5*time.Millisecond)
		rec.line("%s runs item %s, all events written: %t", s.id, r.Header.Get("Attempt-Id"), done)
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
	all, err := d.readAll(id, 20*time.Second)
	if err != nil {
		return outcome{}, fmt.Errorf("the results do not come: %w", err)
	}
	want, wrong := strings.Join(events, "\n"), 0
	for _, o := range all.Outputs {
		if o.State == "completed" && o.Text != want {
			wrong++
			rec.line("BROKEN: result %s is completed with text %q, the events hold %q", o.ID, o.Text, want)
		}
	}
	return outcome{broken: wrong > 0, text: fmt.Sprintf("%d results, %d completed with a text that isn't the whole output", len(all.Outputs), wrong)}, nil
}
