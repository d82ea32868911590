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
var pageTemplateText string

// pageTemplate is an HTML template, so it escapes all values for their context. Events contain text from callers.
var pageTemplate = template.Must(template.New("timeline").Parse(pageTemplateText))

// eventClasses lists the CSS classes of events. The template defines a colour for each.
var eventClasses = []string{"alert", "request", "sample", "step", "table", "server", "order", "weights", "raft", "vm"}

// page is the data of the HTML timeline.
type page struct {
	Written  string
	Classes  []string
	Events   []pageEvent
	Lanes    []lane
	Missing  []operator.MissingVM
	Answered int // number of VMs that responded
	First    string
	Last     string
}

// pageEvent is an event with its CSS class.
type pageEvent struct {
	events.Event
	At    string
	Class string
	Index int
}

// lane is the row of one VM in the overview, with a mark for each event.
type lane struct {
	VM    api.VMID
	Marks []mark
}

// mark is an event in a lane. Left is its position in percent of the displayed time range.
type mark struct {
	Left  float64
	Class string
	Index int
	Title string
}

// renderPage writes the timeline as a self-contained HTML page, which loads no other resources.
func renderPage(w io.Writer, timeline operator.Timeline, now time.Time) error {
	data := page{Written: now.Format(time.RFC3339), Classes: eventClasses, Missing: timeline.Missing, Answered: timeline.QueriedVMs - len(timeline.Missing)}
	for i, e := range timeline.Events {
		data.Events = append(data.Events, pageEvent{Event: e, At: formatTime(e.Time), Class: classOf(e.Name), Index: i})
	}
	if n := len(data.Events); n > 0 {
		data.First, data.Last = data.Events[0].At, data.Events[n-1].At
		data.Lanes = lanes(data.Events)
	}
	return pageTemplate.Execute(w, data)
}

// lanes groups events by VM. The list must be sorted by time and not be empty.
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

// classOf returns the CSS class of an event: alert for events that need attention, otherwise the part of the name
// before the dot.
func classOf(name events.Name) string {
	switch name {
	case events.RequestRefused, events.RequestFailed, events.CallUnknown, events.TableLeaseExpired, events.VMLost,
		events.SwapFailed, events.CredentialRefused, events.ReplicaRefused, events.EditConflict, events.SampleStale:
		return "alert"
	}
	class, _, _ := strings.Cut(string(name), ".")
	return class
}
