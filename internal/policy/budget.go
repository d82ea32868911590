package policy

import "time"

const (
	// MaxAttempts bounds the attempts of one request, resumes and hedges included.
	MaxAttempts = 3
	// retryPercent is the part of a server's requests that may be retries.
	retryPercent = 0.10
	// minRetryRate is the number of retries a second that a server always admits.
	minRetryRate = 1.0
	// maxRetryTokens bounds the retries that a busy server saves up.
	maxRetryTokens = 10.0
)

// RetryBudget limits the retries that are sent to one backend server. The zero value admits one retry.
type RetryBudget struct {
	tokens  float64
	last    time.Duration
	started bool
}

// RecordRequest notes a first attempt, which earns a part of a retry.
func (b *RetryBudget) RecordRequest(now time.Duration) {
	b.refill(now)
	b.tokens = min(b.tokens+retryPercent, maxRetryTokens)
}

// Admits reports whether a retry may be sent now.
func (b *RetryBudget) Admits(now time.Duration) bool {
	b.refill(now)
	return b.tokens >= 1
}

// SpendRetry takes one retry. Allows must have been true.
func (b *RetryBudget) SpendRetry(now time.Duration) {
	b.refill(now)
	b.tokens--
}

// refill adds the retries that a server admits whatever its load; they are not saved up beyond one second's.
func (b *RetryBudget) refill(now time.Duration) {
	if !b.started {
		b.started, b.tokens, b.last = true, 1, now
		return
	}
	earned := (now - b.last).Seconds() * minRetryRate
	b.last = now
	if b.tokens < minRetryRate {
		b.tokens = min(b.tokens+earned, minRetryRate)
	}
}
