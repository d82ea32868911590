package standin

import "sync"

// Faults is the body of POST /standin/v1/faults. An absent field leaves its fault unchanged; counts are added to
// those still pending.
type Faults struct {
	SlowFactor       *float64 `json:"slow_factor,omitempty"`          // multiplies the time of each token or call; 1 is normal
	Crash            bool     `json:"crash,omitempty"`                // crash immediately
	CrashMarker      *string  `json:"crash_marker,omitempty"`         // crash on requests whose content contains it; empty clears
	FailSwitchOrders int      `json:"fail_swaps,omitempty"`           // the next n switch orders fail
	CutAfterTokens   *int     `json:"cut_after_tokens,omitempty"`     // the next stream breaks after n tokens
	ExchangeAnswers  int      `json:"cross,omitempty"`                // the answers of the next n pairs of concurrent requests are exchanged
	DelayAnswersMS   *int     `json:"delay_answers_ms,omitempty"`     // each answer starts this much later
	IgnoreFencing    *bool    `json:"ignore_fencing,omitempty"`       // accept orders with an outdated fencing token
	StaleCache       *bool    `json:"stale_cache,omitempty"`          // use cached prefixes older than min_version
	BreakBeforeReply int      `json:"break_before_reply,omitempty"`   // a service breaks the next n connections after running the call
	BreakAfterByte   int      `json:"break_after_byte,omitempty"`     // a service breaks the next n connections inside the reply
	BreakBeforeRun   int      `json:"break_before_run,omitempty"`     // a service breaks the next n connections before running the call
	Leave            bool     `json:"leave,omitempty"`                // announce that the server is leaving
	AnnouncePaused   *bool    `json:"announcements_paused,omitempty"` // send no announcements
}

// FaultState holds the faults that are active in one stand-in.
type FaultState struct {
	mu               sync.Mutex
	slowFactor       float64
	crashMarker      string
	failSwitchOrders int
	cutAfterTokens   int
	cutArmed         bool
	exchangeAnswers  int
	answerDelayMS    int
	ignoreFencing    bool
	staleCache       bool
	breakBeforeReply int
	breakAfterByte   int
	breakBeforeRun   int
}

// NewFaultState returns a state without faults, except that ignoreFencing sets the initial value of that fault.
func NewFaultState(ignoreFencing bool) *FaultState {
	return &FaultState{slowFactor: 1, ignoreFencing: ignoreFencing}
}

// Apply activates the faults of f. Crash, Leave and AnnouncePaused are left to the caller.
func (s *FaultState) Apply(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	setIfPresent(&s.slowFactor, f.SlowFactor)
	setIfPresent(&s.crashMarker, f.CrashMarker)
	setIfPresent(&s.answerDelayMS, f.DelayAnswersMS)
	setIfPresent(&s.ignoreFencing, f.IgnoreFencing)
	setIfPresent(&s.staleCache, f.StaleCache)
	if f.CutAfterTokens != nil {
		s.cutAfterTokens, s.cutArmed = *f.CutAfterTokens, true
	}
	s.failSwitchOrders += f.FailSwitchOrders
	s.exchangeAnswers += f.ExchangeAnswers
	s.breakBeforeReply += f.BreakBeforeReply
	s.breakAfterByte += f.BreakAfterByte
	s.breakBeforeRun += f.BreakBeforeRun
}

func setIfPresent[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

// takeOne decrements the pending count n and reports whether it was above zero.
func (s *FaultState) takeOne(n *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// TakeFailSwitchOrder reports whether this switch order must fail, and counts it.
func (s *FaultState) TakeFailSwitchOrder() bool { return s.takeOne(&s.failSwitchOrders) }

// TakeExchangeAnswers reports whether this pair of concurrent answers must be exchanged, and counts it.
func (s *FaultState) TakeExchangeAnswers() bool { return s.takeOne(&s.exchangeAnswers) }

// TakeBreakBeforeReply reports whether this connection must break before the first byte of the reply, and counts it.
func (s *FaultState) TakeBreakBeforeReply() bool { return s.takeOne(&s.breakBeforeReply) }

// TakeBreakAfterByte reports whether this connection must break inside the reply, and counts it.
func (s *FaultState) TakeBreakAfterByte() bool { return s.takeOne(&s.breakAfterByte) }

// TakeBreakBeforeRun reports whether this connection must break before the call is run, and counts it.
func (s *FaultState) TakeBreakBeforeRun() bool { return s.takeOne(&s.breakBeforeRun) }

// TakeCut returns the number of tokens after which this stream must break. It applies to one stream: ok is false
// until the fault is set again.
func (s *FaultState) TakeCut() (tokens int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok, s.cutArmed = s.cutArmed, false
	return s.cutAfterTokens, ok
}

// ExchangePending reports whether a pair of answers is still to be exchanged.
func (s *FaultState) ExchangePending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exchangeAnswers > 0
}

// SlowFactor returns the factor by which the time of each token or call is multiplied.
func (s *FaultState) SlowFactor() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slowFactor
}

// CrashMarker returns the text that makes the server crash when a request contains it; empty if none.
func (s *FaultState) CrashMarker() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashMarker
}

// AnswerDelayMS returns the delay before each answer, in milliseconds.
func (s *FaultState) AnswerDelayMS() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answerDelayMS
}

// IgnoreFencing reports whether orders with an outdated fencing token are accepted.
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
