package forward

import (
	"net/http"
	"sync/atomic"
	"time"

	"filbertledge/internal/routes"
)

// Usage counts the requests of workspaces.
type Usage interface {
	// Count begins to count a request. nil means that it is not counted.
	Count(workspace string) UsageCount
}

// UsageCount is the count of one request, which counts once for all its attempts.
type UsageCount interface {
	// Begin is told when the server of an attempt began to run the request, as a boot time.
	Begin(attempt int, at time.Duration)
	// NotRun is told that the server of an attempt did not run the request and never will.
	NotRun(attempt int)
	// Done is told that nothing more will become known of the request. It returns a description of the count for the log.
	Done() string
}

// beginUsage begins the count of the request. Requests without a workspace do not count. A request that continues a stream
// was counted when the stream began, and one that another VM handed over counts there.
func (f *forwardState) beginUsage() {
	if u := f.forwarder.opts.Usage; u != nil && f.request.Workspace != "" && f.request.From == "" && f.request.TakeUp == nil {
		f.usage = u.Count(f.request.Workspace)
	}
}

// endUsage ends the count of the request.
func (f *forwardState) endUsage() {
	if f.usage != nil {
		f.usageDetail = f.usage.Done() + ", "
	}
}

// countAttempt makes an attempt report when its server begins to run the request: when the request is written or, for a
// stream, when its first event arrives. It returns the function that must be called with the result.
func (f *forwardState) countAttempt(a *Attempt) (finish func(attemptResult)) {
	if f.usage == nil {
		return func(attemptResult) {}
	}
	f.attempts++
	number, clock, stream := f.attempts, f.forwarder.opts.Clock, f.route.Kind == routes.Streaming
	var begun atomic.Bool
	begin := func() {
		begun.Store(true)
		f.usage.Begin(number, clock())
	}
	if stream {
		a.FirstEvent = begin
	} else {
		permitted := a.Permitted
		a.Permitted = func() bool {
			if permitted != nil && !permitted() {
				return false
			}
			begin()
			return true
		}
	}
	return func(result attemptResult) {
		switch {
		case begun.Load() && !result.mayHaveRun():
			f.usage.NotRun(number)
		case !begun.Load() && !stream && result.mayHaveRun():
			begin() // the exchanger did not ask for permission
		}
	}
}

// countHandover counts an attempt through another VM: an ordinary request from its hand-over, a stream from its first
// event, as the other VM's reply tells. An earlier build does not tell it; there the end of a successful stream counts.
func (f *forwardState) countHandover() (finish func(attemptResult)) {
	if f.usage == nil {
		return func(attemptResult) {}
	}
	f.attempts++
	number, stream := f.attempts, f.route.Kind == routes.Streaming
	if !stream {
		f.usage.Begin(number, f.forwarder.opts.Clock())
	}
	return func(result attemptResult) {
		switch {
		case !result.mayHaveRun():
			f.usage.NotRun(number)
		case stream && result.response != nil && (result.response.SinceFirstEvent > 0 || result.response.Status == http.StatusOK):
			f.usage.Begin(number, f.forwarder.opts.Clock()-result.response.SinceFirstEvent)
		}
	}
}
