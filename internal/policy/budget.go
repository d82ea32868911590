package policy

import "time"

const (
	// MaxAttempts limits the attempts of one request, including resumed streams and hedged attempts.
	MaxAttempts = 3
	// retryFraction is the number of retries that each first attempt on a server adds to the budget.
	retryFraction = 0.10
	// minRetriesPerSecond is the rate of retries that a server admits even without other requests.
	minRetriesPerSecond = 1.0
	// maxSavedRetries limits the retries that accumulate while a busy server needs none.
	maxSavedRetries = 10.0
)

// RetryBudget limits the retries that are sent to one backend server, so that retries do not overload a failing pool.
// The zero value admits one retry.
type RetryBudget struct {
	available  float64
	refilledAt time.Duration
	started    bool
}

// RecordRequest records a first attempt, which adds retryFraction of a retry to the budget.
func (b *RetryBudget) RecordRequest(now time.Duration) {
	b.refill(now)
	b.available = min(b.available+retryFraction, maxSavedRetries)
}

// Admits reports whether a retry may be sent now.
func (b *RetryBudget) Admits(now time.Duration) bool {
	b.refill(now)
	return b.available >= 1
}

// SpendRetry takes one retry from the budget. Call it only after Admits returned true.
func (b *RetryBudget) SpendRetry(now time.Duration) {
	b.refill(now)
	b.available--
}

// refill adds the retries of minRetriesPerSecond. They accumulate for at most one second.
func (b *RetryBudget) refill(now time.Duration) {
	if !b.started {
		b.started, b.available, b.refilledAt = true, 1, now
		return
	}
	earned := (now - b.refilledAt).Seconds() * minRetriesPerSecond
	b.refilledAt = now
	if b.available < minRetriesPerSecond {
		b.available = min(b.available+earned, minRetriesPerSecond)
	}
}
