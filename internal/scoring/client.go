// Package scoring is the client for services that score rollouts.
package scoring

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

// Request is the body of POST to the scoring URL.
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
	MaxAttempts    int           // of one call; default 3
	InitialBackoff time.Duration // before the first retry, doubled at each; default 100 ms
	RetryRate      rate.Limit    // retries a second of all calls; default 5
	MaxConnections int           // to one service; default 256
}

// maxAnswerBytes bounds the answer of a scoring service.
const maxAnswerBytes = 64 << 10

// Client calls scoring services. It is safe for concurrent use.
type Client struct {
	o       Options
	http    *fasthttp.Client
	retries *rate.Limiter
}

// NewClient returns a client.
func NewClient(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = 30 * time.Second
	}
	if o.MaxAttempts <= 0 {
		o.MaxAttempts = 3
	}
	if o.InitialBackoff <= 0 {
		o.InitialBackoff = 100 * time.Millisecond
	}
	if o.RetryRate <= 0 {
		o.RetryRate = 5
	}
	if o.MaxConnections <= 0 {
		o.MaxConnections = 256
	}
	return &Client{
		o: o, retries: rate.NewLimiter(o.RetryRate, max(1, int(o.RetryRate))),
		http: &fasthttp.Client{
			MaxConnsPerHost: o.MaxConnections, MaxResponseBodySize: maxAnswerBytes, MaxIdemponentCallAttempts: 1,
			NoDefaultUserAgentHeader: true,
		},
	}
}

// Score asks the service at url for the score of a completion. Errors are of kind errs.BackendFailed, or
// errs.Canceled if ctx ended.
func (c *Client) Score(ctx context.Context, url string, r Request) (float64, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return 0, errs.Wrap(err, errs.Internal, "report this fault", "encoding a scoring request")
	}
	pause := c.o.InitialBackoff
	for attempt := 1; ; attempt++ {
		score, err := c.once(ctx, url, body)
		if err == nil {
			return score, nil
		}
		if attempt >= c.o.MaxAttempts || !c.retries.Allow() {
			return 0, err
		}
		if ctxErr := wait(ctx, pause); ctxErr != nil {
			return 0, errs.Wrap(ctxErr, errs.Canceled, "", "the sample is not needed any more")
		}
		pause *= 2
	}
}

func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// once makes one attempt. fasthttp knows no context, so the attempt ends at its deadline at the latest.
func (c *Client) once(ctx context.Context, url string, body []byte) (float64, error) {
	if err := ctx.Err(); err != nil {
		return 0, errs.Wrap(err, errs.Canceled, "", "the sample is not needed any more")
	}
	deadline := time.Now().Add(c.o.Timeout)
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
		return 0, errs.Wrap(err, errs.BackendFailed, "check the scoring service", "calling %s", url)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return 0, errs.New(errs.BackendFailed, "check the scoring service", "%s answered status %d", url, resp.StatusCode())
	}
	return parseScore(url, resp.Body())
}

func parseScore(url string, body []byte) (float64, error) {
	var answer struct {
		Score *float64 `json:"score"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return 0, errs.Wrap(err, errs.BackendFailed, "check the scoring service", "the answer of %s is not JSON", url)
	}
	if answer.Score == nil || math.IsNaN(*answer.Score) || math.IsInf(*answer.Score, 0) {
		return 0, errs.New(errs.BackendFailed, "check the scoring service", "the answer of %s has no score", url)
	}
	return *answer.Score, nil
}
