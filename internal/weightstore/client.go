// Package weightstore implements the client of the rate-limited weight store. Engines download the weights themselves;
// this client reads only the sizes and limits that are needed to plan these downloads.
package weightstore

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/api"
	"filbertledge/internal/backend"
	"filbertledge/internal/errs"
)

const (
	requestTimeout  = 2 * time.Second
	maxResponseSize = 4 << 20 // bytes
)

// Version describes one version of a model's weights, as reported by the weight store.
type Version struct {
	Version   api.WeightVersion `json:"version"`
	SizeBytes int64             `json:"size_bytes"`
}

// Limits holds the rate limit that the weight store reports.
type Limits struct {
	BytesPerSecond int64 `json:"bytes_per_second"`
}

// Client reads from one weight store.
type Client struct {
	baseURL string
	http    *fasthttp.Client
}

// New returns a client for the store at baseURL, such as http://10.0.0.5:6001.
func New(baseURL string) *Client {
	return &Client{
		baseURL: baseURL,
		http:    &fasthttp.Client{MaxResponseBodySize: maxResponseSize, NoDefaultUserAgentHeader: true, Dial: backend.Dial},
	}
}

// Versions returns the stored versions of a model. Errors are of kind errs.Unavailable or errs.BackendFailed.
func (c *Client) Versions(ctx context.Context, model string) ([]Version, error) {
	var out []Version
	err := c.get(ctx, "/models/"+url.PathEscape(model)+"/versions", &out)
	return out, err
}

// Limits returns the store's limits. Errors are of kind errs.Unavailable or errs.BackendFailed.
func (c *Client) Limits(ctx context.Context) (Limits, error) {
	var out Limits
	err := c.get(ctx, "/limits", &out)
	return out, err
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.baseURL + path)
	deadline := time.Now().Add(requestTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	const remedy = "check that the weight store runs and that weights.store in the settings names it"
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return errs.Wrap(err, errs.Unavailable, remedy, "weight store did not answer %s", path)
	}
	if resp.StatusCode() != http.StatusOK {
		return errs.New(errs.BackendFailed, remedy, "weight store answered %s with status %d", path, resp.StatusCode())
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return errs.Wrap(err, errs.BackendFailed, remedy, "weight store answered %s with malformed JSON", path)
	}
	return nil
}

// MaxConcurrentLoads returns how many engines may load weights of the given size at the same time if each load has to
// end within perLoad. The result is at least 1.
func MaxConcurrentLoads(l Limits, sizeBytes int64, perLoad time.Duration) int {
	if sizeBytes <= 0 || l.BytesPerSecond <= 0 {
		return 1
	}
	n := float64(l.BytesPerSecond) * perLoad.Seconds() / float64(sizeBytes)
	return max(1, int(n))
}
