package standin

import "sync"

// Faults is the body of POST /standin/v1/faults. Fields that are absent leave the fault as it is.
type Faults struct {
	SlowFactor       *float64 `json:"slow_factor,omitempty"`          // multiplies the time of each token or call; 1 is normal
	Crash            bool     `json:"crash,omitempty"`                // crash now
	CrashMarker      *string  `json:"crash_marker,omitempty"`         // crash on requests whose content contains it; empty clears
	FailSwitchOrders int      `json:"fail_swaps,omitempty"`           // the next n switch orders fail
	CutAfterTokens   *int     `json:"cut_after_tokens,omitempty"`     // the next stream breaks after n tokens
	ExchangeAnswers  int      `json:"cross,omitempty"`                // the next n pairs of concurrent answers are exchanged
	DelayAnswersMS   *int     `json:"delay_answers_ms,omitempty"`     // each answer starts this much later
	IgnoreFencing    *bool    `json:"ignore_fencing,omitempty"`       // accept orders with an old fencing token
	StaleCache       *bool    `json:"stale_cache,omitempty"`          // use cached prefixes older than min_version
	BreakBeforeReply int      `json:"break_before_reply,omitempty"`   // a service breaks the next n connections after running the call
	BreakAfterByte   int      `json:"break_after_byte,omitempty"`     // a service breaks the next n connections inside the reply
	BreakBeforeRun   int      `json:"break_before_run,omitempty"`     // a service breaks the next n connections before running the call
	Leave            bool     `json:"leave,omitempty"`                // announce that the server is leaving
	AnnouncePaused   *bool    `json:"announcements_paused,omitempty"` // send no announcements
}

// FaultState is the set of faults in force on one stand-in.
type FaultState struct {
	mu             sync.Mutex
	slow           float64
	marker         string
	failSwaps      int
	cutAfter       int
	cutArmed       bool
	cross          int
	delayMS        int
	ignoreFencing  bool
	staleCache     bool
	breakBefore    int
	breakAfter     int
	breakBeforeRun int
}

// NewFaultState returns a state without faults.
func NewFaultState(ignoreFencing bool) *FaultState {
	return &FaultState{slow: 1, ignoreFencing: ignoreFencing}
}

// Apply puts f in force. Crash, Leave and AnnouncePaused are left to the caller.
func (s *FaultState) Apply(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set(&s.slow, f.SlowFactor)
	set(&s.marker, f.CrashMarker)
	set(&s.delayMS, f.DelayAnswersMS)
	set(&s.ignoreFencing, f.IgnoreFencing)
	set(&s.staleCache, f.StaleCache)
	if f.CutAfterTokens != nil {
		s.cutAfter, s.cutArmed = *f.CutAfterTokens, true
	}
	s.failSwaps += f.FailSwitchOrders
	s.cross += f.ExchangeAnswers
	s.breakBefore += f.BreakBeforeReply
	s.breakAfter += f.BreakAfterByte
	s.breakBeforeRun += f.BreakBeforeRun
}

func set[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

func (s *FaultState) take(n *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// TakeFailSwitchOrder reports whether the next switch order must fail.
func (s *FaultState) TakeFailSwitchOrder() bool { return s.take(&s.failSwaps) }

// TakeExchangeAnswers reports whether two concurrent answers must be exchanged.
func (s *FaultState) TakeExchangeAnswers() bool { return s.take(&s.cross) }

// TakeBreakBeforeReply reports whether the connection must break before the first byte of the reply.
func (s *FaultState) TakeBreakBeforeReply() bool { return s.take(&s.breakBefore) }

// TakeBreakAfterByte reports whether the connection must break after the first byte of the reply.
func (s *FaultState) TakeBreakAfterByte() bool { return s.take(&s.breakAfter) }

// TakeBreakBeforeRun reports whether the connection must break before the call is run.
func (s *FaultState) TakeBreakBeforeRun() bool { return s.take(&s.breakBeforeRun) }

// TakeCut returns the number of tokens after which the next stream must break.
func (s *FaultState) TakeCut() (tokens int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok, s.cutArmed = s.cutArmed, false
	return s.cutAfter, ok
}

// ExchangePending reports whether any exchange of answers is outstanding.
func (s *FaultState) ExchangePending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cross > 0
}

// SlowFactor returns the factor on the time of each token or call.
func (s *FaultState) SlowFactor() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slow
}

// CrashMarker returns the text on which the server crashes; empty for none.
func (s *FaultState) CrashMarker() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.marker
}

// AnswerDelayMS returns the delay of each answer in milliseconds.
func (s *FaultState) AnswerDelayMS() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delayMS
}

// IgnoreFencing reports whether orders with an old fencing token are accepted.
func (s *FaultState) IgnoreFencing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ignoreFencing
}

// StaleCache reports whether cached prefixes older than min_version are used.
func (s *FaultState) StaleCache() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.staleCache
}
