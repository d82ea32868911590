package events

import (
	"bytes"
	"encoding/json"
	"testing"
)

// Guards against events that are lost or returned out of order once the ring buffer has wrapped around.
func TestQueryAfterWrapReturnsNewestInOrder(t *testing.T) {
	r := NewRecorder("vm-1", &bytes.Buffer{})
	for range bufferedEvents + 10 {
		r.Record(Event{Name: RequestFinished})
	}
	got := r.Query(Filter{Limit: 20})
	if len(got) != 20 {
		t.Fatalf("got %d events, want 20", len(got))
	}
	for i, e := range got {
		if want := uint64(bufferedEvents + 10 - 20 + i); e.Sequence != want {
			t.Fatalf("event %d has sequence %d, want %d", i, e.Sequence, want)
		}
	}
}

// Guards against a log line that is not a single JSON object with the event name.
func TestRecordWritesJSONLine(t *testing.T) {
	var buf bytes.Buffer
	r := NewRecorder("vm-1", &buf)
	r.Record(Event{Name: ServerLeaving, Server: "s1", Detail: "announced to vm-2"})
	var line map[string]any
	if err := json.Unmarshal(buf.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if line["event"] != string(ServerLeaving) || line["server"] != "s1" || line["vm"] != "vm-1" {
		t.Fatalf("unexpected line %v", line)
	}
}

// Guards against a filter that ignores one of its fields, and against a VM filter that misses the events in which the
// VM is the peer.
func TestFilterMatches(t *testing.T) {
	e := Event{VM: "vm-1", Peer: "vm-2", Row: "a", Server: "s", Request: "r"}
	for _, c := range []struct {
		filter Filter
		want   bool
	}{
		{Filter{}, true},
		{Filter{VM: "vm-2"}, true},
		{Filter{VM: "vm-3"}, false},
		{Filter{Row: "a", Server: "s", Request: "r"}, true},
		{Filter{Row: "b"}, false},
	} {
		if got := c.filter.Matches(e); got != c.want {
			t.Errorf("Matches(%+v) = %v, want %v", c.filter, got, c.want)
		}
	}
}
