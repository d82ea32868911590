package cli

import (
	_ "embed"
	"html/template"
	"io"
	"slices"
	"strings"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/events"
	"filbertledge/internal/operator"
)

//go:embed timeline.html.tmpl
var pageText string

// pageTemplate escapes all values for their place in the page: events hold text from callers.
var pageTemplate = template.Must(template.New("timeline").Parse(pageText))

// classes are the colours of the page, which the template defines.
var classes = []string{"alert", "request", "sample", "step", "table", "server", "order", "weights", "raft", "vm"}

// page is the content of the HTML timeline.
type page struct {
	Written  string
	Classes  []string
	Events   []pageEvent
	Lanes    []lane
	Missing  []operator.MissingVM
	Answered int // VMs
	First    string
	Last     string
}

// pageEvent is an event with its class for colours.
type pageEvent struct {
	events.Event
	At    string
	Class string
	Index int
}

// lane is the line of one VM in the overview.
type lane struct {
	VM    api.VMID
	Marks []mark
}

// mark is an event in a lane. Left is in percent of the time shown.
type mark struct {
	Left  float64
	Class string
	Index int
	Title string
}

// renderPage writes the timeline as one HTML page that loads nothing.
func renderPage(w io.Writer, t operator.Timeline, now time.Time) error {
	p := page{Written: now.Format(time.RFC3339), Classes: classes, Missing: t.Missing, Answered: t.QueriedVMs - len(t.Missing)}
	for i, e := range t.Events {
		p.Events = append(p.Events, pageEvent{Event: e, At: formatTime(e.Time), Class: classOf(e.Name), Index: i})
	}
	if n := len(p.Events); n > 0 {
		p.First, p.Last = p.Events[0].At, p.Events[n-1].At
		p.Lanes = lanes(p.Events)
	}
	return pageTemplate.Execute(w, p)
}

func lanes(list []pageEvent) []lane {
	first := list[0].Time
	span := max(list[len(list)-1].Time.Sub(first), time.Millisecond)
	byVM := map[api.VMID][]mark{}
	for _, e := range list {
		left := 100 * float64(e.Time.Sub(first)) / float64(span)
		byVM[e.VM] = append(byVM[e.VM], mark{Left: left, Class: e.Class, Index: e.Index, Title: e.At + " " + string(e.Name)})
	}
	var out []lane
	for vm, marks := range byVM {
		out = append(out, lane{vm, marks})
	}
	slices.SortFunc(out, func(a, b lane) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return out
}

// classOf groups events by colour: what needs attention, and else the part before the dot.
func classOf(name events.Name) string {
	switch name {
	case events.RequestRefused, events.RequestFailed, events.CallUnknown, events.TableLeaseExpired, events.VMLost,
		events.SwapFailed, events.CredentialRefused, events.ReplicaRefused, events.EditConflict, events.SampleStale:
		return "alert"
	}
	class, _, _ := strings.Cut(string(name), ".")
	return class
}
