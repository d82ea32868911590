package rollout

import (
	"slices"
	"time"
)

// StreamBegin records which version of the servers' software began the answer to a caller's stream, so that only that
// version continues it.
type StreamBegin struct {
	ID       string `cbor:"1,keyasint"` // attempt ID of the caller's request
	Software string `cbor:"2,keyasint"`
	At       int64  `cbor:"3,keyasint"` // time of day of the leader, in Unix milliseconds
}

const (
	// streamRetention is how long the begin of a stream is kept. Callers wait some tens of seconds for a stream.
	streamRetention = 2 * time.Minute
	// maxStreams bounds the recorded streams to a few megabytes. The oldest ones are dropped.
	maxStreams = 50000
)

// streamTable holds the begins of streams, the oldest first.
type streamTable struct {
	list     []StreamBegin
	software map[string]string // by attempt ID
}

func newStreamTable(list []StreamBegin) streamTable {
	t := streamTable{software: make(map[string]string, len(list))}
	for _, b := range list {
		t.add(b)
	}
	return t
}

// add records a begin. A stream keeps the first one, which brought the caller its first event. Which old ones are
// dropped depends on the recorded times only, so that all replicas drop the same.
func (t *streamTable) add(b StreamBegin) bool {
	if _, known := t.software[b.ID]; known || b.ID == "" || b.Software == "" {
		return false
	}
	t.list = append(t.list, b)
	t.software[b.ID] = b.Software
	expired := 0
	for expired < len(t.list) && (t.list[expired].At < b.At-streamRetention.Milliseconds() || len(t.list)-expired > maxStreams) {
		delete(t.software, t.list[expired].ID)
		expired++
	}
	t.list = slices.Delete(t.list, 0, expired)
	return true
}

// StreamSoftware returns the version of the servers' software that began a stream, and whether it is known.
func (s *State) StreamSoftware(attempt string) (string, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	software, known := s.streams.software[attempt]
	return software, known
}
