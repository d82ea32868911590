package control

import (
	"fmt"
	"sync"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/table"
)

// StateMachine is the replicated state machine. Apply is deterministic: it uses neither clocks nor random numbers. All
// methods are safe for concurrent use.
type StateMachine struct {
	mu      sync.RWMutex
	state   state
	changed chan struct{} // closed at the next change of the table, the weights, the claim revision or the shares
}

// state is the part of the state machine that snapshots contain.
type state struct {
	index   uint64
	now     time.Time // maximum of all Command.ProposedAt
	table   *table.Snapshot
	rows    map[api.RowName]*rowEntry
	edits   records[editRecord]
	calls   callRecords
	ledger  ledger
	weights map[string]*modelEntry
	// weightsVersion is the log index of the last accepted PublishWeights.
	weightsVersion uint64
	fencingToken   uint64
	shares         map[api.VMID]*vmShares
	sharesVersion  uint64 // log index of the last change of any share
}

func newState() state {
	return state{
		table:   table.NewSnapshot(0, nil),
		rows:    map[api.RowName]*rowEntry{},
		edits:   newRecords[editRecord](maxEditRecords),
		calls:   newCallRecords(),
		ledger:  newLedger(),
		weights: map[string]*modelEntry{},
		shares:  map[api.VMID]*vmShares{},
	}
}

// NewStateMachine returns an empty state machine.
func NewStateMachine() *StateMachine {
	return &StateMachine{state: newState(), changed: make(chan struct{})}
}

// Apply executes the command of a log entry and returns the encoded Result. An entry without data, which a new leader
// commits at the start of its term, changes nothing.
func (m *StateMachine) Apply(index uint64, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if index <= m.state.index {
		return encodeResult(failedResult(errs.Internal, "report this fault", "log entry %d was already applied", index))
	}
	m.state.index = index
	if len(data) == 0 {
		return nil
	}
	before := m.state.watchedVersions()
	result := m.state.applyEncoded(data)
	result.Index = index
	if m.state.watchedVersions() != before {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return encodeResult(result)
}

func encodeResult(r Result) []byte {
	data, err := Encode(r)
	if err != nil {
		panic(err) // cannot happen: all fields of Result are encodable
	}
	return data
}

// watchedVersions holds the versions of those parts of the state whose change wakes the watchers.
type watchedVersions struct{ table, weights, claim, shares uint64 }

func (s *state) watchedVersions() watchedVersions {
	return watchedVersions{s.table.Version(), s.weightsVersion, s.ledger.claimRevision, s.sharesVersion}
}

func (s *state) applyEncoded(data []byte) Result {
	var c Command
	if err := Decode(data, &c); err != nil {
		return failedResult(errs.InvalidArgument, "send a command of this version", "the log entry does not contain a valid command: %v", err)
	}
	if c.ProposedAt.After(s.now) {
		s.now = c.ProposedAt
	}
	s.edits.prune(s.now, nil)
	s.calls.prune(s.now)
	return s.apply(c)
}

func (s *state) apply(c Command) Result {
	switch {
	case c.EditRow != nil:
		return s.editRow(*c.EditRow)
	case c.BeginCall != nil:
		return s.beginCall(*c.BeginCall)
	case c.FinishCall != nil:
		return s.finishCall(*c.FinishCall)
	case c.OpenStep != nil:
		return s.openStep(*c.OpenStep)
	case c.SubmitGroups != nil:
		return s.submitGroups(*c.SubmitGroups)
	case c.ClaimGroups != nil:
		return s.claimGroups(*c.ClaimGroups)
	case c.FinishSample != nil:
		return s.finishSample(*c.FinishSample)
	case c.ResetSample != nil:
		return s.resetSample(*c.ResetSample)
	case c.Acknowledge != nil:
		return s.acknowledge(*c.Acknowledge)
	case c.PublishWeights != nil:
		return s.publishWeights(*c.PublishWeights)
	case c.VMLost != nil:
		return s.vmLost(*c.VMLost)
	case c.IssueFencingToken != nil:
		return s.issueFencingToken()
	case c.SetShares != nil:
		return s.setShares(*c.SetShares)
	case c.ReleaseShares != nil:
		return s.releaseShares(*c.ReleaseShares)
	default:
		return failedResult(errs.InvalidArgument, "set exactly one field", "the command is empty")
	}
}

func failedResult(kind errs.Kind, remedy, format string, args ...any) Result {
	return Result{ErrorKind: string(kind), Remedy: remedy, Error: fmt.Sprintf(format, args...)}
}

// Index returns the index of the last applied log entry.
func (m *StateMachine) Index() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.index
}

// Table returns the current table.
func (m *StateMachine) Table() *table.Snapshot {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.table
}

// Changed returns a channel that is closed at the next change of the table, the weights, the claim revision or the
// shares.
func (m *StateMachine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// ClaimRevision returns a number that changes whenever ClaimGroups may return something new.
func (m *StateMachine) ClaimRevision() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.ledger.claimRevision
}
