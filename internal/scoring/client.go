// Package scoring implements the client for external HTTP services that score rollouts.
package scoring

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"filbertledge/internal/api"
	"filbertledge/internal/backend"
	"filbertledge/internal/errs"
)

// Request is the body of the POST request to a scoring service.
type Request struct {
	Row        api.RowName `json:"row"`
	Step       uint64      `json:"step"`
	Group      string      `json:"group"`
	Member     int         `json:"member"`
	Prompt     string      `json:"prompt"`
	Completion string      `json:"completion"`
}

// Options configure a Client. Zero values select the defaults.
type Options struct {
	Timeout        time.Duration // of one attempt; default 30 s
	MaxAttempts    int           // attempts of one call; default 3
	InitialBackoff time.Duration // wait before the first retry, doubled after each; default 100 ms
	RetryRate      rate.Limit    // retries a second over all calls; default 5
	MaxConnections int           // connections to one service; default 256
}

// Defaults of Options, for fields that are not set.
const (
	defaultTimeout        = 30 * time.Second
	defaultMaxAttempts    = 3
	defaultInitialBackoff = 100 * time.Millisecond
	defaultRetryRate      = 5 // retries a second
	defaultMaxConnections = 256
)

// maxAnswerBytes bounds the size of a response of a scoring service.
const maxAnswerBytes = 64 << 10

// Client calls scoring services. It is safe for concurrent use.
type Client struct {
	opts         Options
	http         *fasthttp.Client
	retryLimiter *rate.Limiter
}

func NewClient(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.MaxAttempts <= 0 {
		o.MaxAttempts = defaultMaxAttempts
	}
	if o.InitialBackoff <= 0 {
		o.InitialBackoff = defaultInitialBackoff
	}
	if o.RetryRate <= 0 {
		o.RetryRate = defaultRetryRate
	}
	if o.MaxConnections <= 0 {
		o.MaxConnections = defaultMaxConnections
	}
	return &Client{
		opts: o, retryLimiter: rate.NewLimiter(o.RetryRate, max(1, int(o.RetryRate))),
		http: &fasthttp.Client{
			MaxConnsPerHost: o.MaxConnections, MaxResponseBodySize: maxAnswerBytes, MaxIdemponentCallAttempts: 1,
			NoDefaultUserAgentHeader: true, Dial: backend.Dial,
		},
	}
}

// Score requests the score of a completion from the service at url, and retries failed attempts. Errors are of kind
// errs.BackendFailed, or errs.Canceled if ctx ended.
func (c *Client) Score(ctx context.Context, url string, r Request) (float64, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return 0, errs.Wrap(err, errs.Internal, "report this fault", "cannot encode the scoring request")
	}
	backoff := c.opts.InitialBackoff
	for attempt := 1; ; attempt++ {
		score, err := c.attemptOnce(ctx, url, body)
		if err == nil {
			return score, nil
		}
		if attempt >= c.opts.MaxAttempts || !c.retryLimiter.Allow() {
			return 0, err
		}
		if ctxErr := sleep(ctx, backoff); ctxErr != nil {
			return 0, errs.Wrap(ctxErr, errs.Canceled, "", "scoring was canceled")
		}
		backoff *= 2
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// attemptOnce makes a single attempt. fasthttp does not support contexts, so canceling ctx does not interrupt a running
// attempt; the attempt ends at its deadline at the latest.
func (c *Client) attemptOnce(ctx context.Context, url string, body []byte) (float64, error) {
	if err := ctx.Err(); err != nil {
		return 0, errs.Wrap(err, errs.Canceled, "", "scoring was canceled")
	}
	deadline := time.Now().Add(c.opts.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return 0, errs.Wrap(err, errs.BackendFailed, "check the scoring service", "scoring request to %s failed", url)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return 0, errs.New(errs.BackendFailed, "check the scoring service", "%s answered with status %d", url, resp.StatusCode())
	}
	return parseScore(url, resp.Body())
}

func parseScore(url string, body []byte) (float64, error) {
	var answer struct {
		Score *float64 `json:"score"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return 0, errs.Wrap(err, errs.BackendFailed, "check the scoring service", "the answer of %s is not valid JSON", url)
	}
	if answer.Score == nil || math.IsNaN(*answer.Score) || math.IsInf(*answer.Score, 0) {
		return 0, errs.New(errs.BackendFailed, "check the scoring service", "the answer of %s contains no valid score", url)
	}
	return *answer.Score, nil
}
