package coordinator

import (
	"fmt"
	"time"

	"filbertledge/internal/events"
	"filbertledge/internal/fleet"
	"filbertledge/internal/scheduling"
)

// What two versions of the servers' software write does not fit together, and servers do not check it. A text therefore
// goes on only at the version that began it. The empty version is unknown and matches none.

// doubtSoftware records that the server may have restarted with another version, because a run there failed. The doubt
// ends with the next announcement.
func (s *session) doubtSoftware(e *engineState, v *fleet.Server) {
	if current, known := s.node.registry.Get(v.ID); known {
		e.softwareDoubted, e.doubtedSequence = true, current.Sequence
	}
}

// softwareOf returns the version of a server's software, or an empty string if it is unknown.
func (e *engineState) softwareOf(v *fleet.Server) string {
	if e.softwareDoubted && v.Sequence <= e.doubtedSequence {
		return ""
	}
	return v.Software
}

// mayContinueOn reports whether the software of a server may run the item: any if there is no text yet, otherwise the
// version that began the text.
func (t *task) mayContinueOn(software string) bool {
	return t.events == 0 || software != "" && software == t.software
}

// restartText drops the text of a waiting item, so that any server may run it, if no server of the version that began it
// is left, or if waiting for one takes longer than to make the text again. It reports whether it did. The caller holds
// the mutex.
func (s *session) restartText(t *task, servers []fleet.Server, medians scheduling.MedianIntervals, now time.Duration) bool {
	if t.events == 0 {
		return false
	}
	left, others := false, false
	for i := range servers {
		switch {
		case servers[i].Leaving:
		case t.mayContinueOn(servers[i].Software):
			left = true
		default:
			others = true
		}
	}
	waited := now - t.waitingSince
	if !others || left && scheduling.KeepText(waited, t.events, medians.Baseline) {
		return false
	}
	s.record(events.Event{
		Name: events.ItemRestarted, Request: t.batch.Items[t.item].ID,
		Detail: fmt.Sprintf("batch %s, %d events of software %q dropped, a server of that version is left: %t, waited %s", t.batch.ID, t.events, t.software, left, waited.Round(time.Millisecond)),
	})
	t.discardText()
	return true
}

// ranOnOtherSoftware reports whether a run may have reached another version of the server's software than the one that
// it was meant for, because the server has restarted since it was chosen.
func (s *session) ranOnOtherSoftware(v *fleet.Server) bool {
	current, known := s.node.registry.Get(v.ID)
	return known && current.Incarnation != v.Incarnation && current.Software != v.Software
}
