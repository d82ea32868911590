// Package trainer simulates a trainer: it runs training steps over the trainer API, calls a random entry VM each
// time, acknowledges samples and checks what it receives.
package trainer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"filbertledge/internal/api"
)

// Limits of one call. A failed call is resent through a random entry VM until its context ends.
const (
	fetchWait       = time.Second
	fetchMaxSamples = 64
	callTimeout     = 5 * time.Second
	resendDelay     = 50 * time.Millisecond
	maxBodyBytes    = 8 << 20
)

// SampleID identifies a sample within one row of the table, which is one workload (see package table).
type SampleID struct {
	Step   uint64 `json:"step"`
	Group  string `json:"group"`
	Member int    `json:"member"`
}

// Sample is one delivered sample.
type Sample struct {
	ID       SampleID            `json:"id"`
	Attempt  uint64              `json:"attempt"`
	Text     string              `json:"text"`
	Tokens   int                 `json:"tokens"`
	Labels   []api.PieceLabel    `json:"labels"`
	Versions []api.WeightVersion `json:"versions"`
	Score    float64             `json:"score"`
	Timing   Timing              `json:"timing"`
}

// Timing is the time that a sample spent waiting and in generation.
type Timing struct {
	QueuedMS    int64 `json:"queued_ms"`
	GeneratedMS int64 `json:"generated_ms"`
}

// Group is a group of samples to request, all generated for the same OpenAI chat request.
type Group struct {
	ID      string          `json:"id"`
	Size    int             `json:"size"`
	Request json.RawMessage `json:"request"`
}

type openBody struct {
	Row        string `json:"row"`
	Step       uint64 `json:"step"`
	DeadlineMS int64  `json:"deadline_ms"`
	Groups     int    `json:"groups"`
	GroupSize  int    `json:"group_size"`
}

type groupsBody struct {
	Groups []Group `json:"groups"`
}

type ackItem struct {
	Group   string `json:"group"`
	Member  int    `json:"member"`
	Attempt uint64 `json:"attempt"`
}

type ackBody struct {
	Samples []ackItem `json:"samples"`
}

type weightsBody struct {
	Row     string            `json:"row"`
	Model   string            `json:"model"`
	Version api.WeightVersion `json:"version"`
}

type fetchResponse struct {
	Samples       []Sample          `json:"samples"`
	Outstanding   int               `json:"outstanding"`
	NewestVersion api.WeightVersion `json:"newest_version"`
}

// entryClient sends each call to a randomly chosen entry VM.
type entryClient struct {
	entries func() []string
	token   string
	client  *http.Client

	mu      sync.Mutex
	rng     *rand.Rand
	resent  int
	lastErr error
}

func (c *entryClient) pickEntry() string {
	list := c.entries()
	c.mu.Lock()
	defer c.mu.Unlock()
	return list[c.rng.IntN(len(list))]
}

// callWithRetry sends a request and resends it through randomly chosen entry VMs until one responds with status 200.
// An error that a resend cannot mend, such as a status that rejects the request itself, is returned at once.
func (c *entryClient) callWithRetry(ctx context.Context, method, path string, body, answer any) error {
	for {
		retry, err := c.callOnce(ctx, method, path, body, answer)
		if err == nil || !retry {
			return err
		}
		c.recordResend(err)
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s %s: %w; last attempt: %w", method, path, ctx.Err(), err)
		case <-time.After(resendDelay):
		}
	}
}

func (c *entryClient) recordResend(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resent++
	c.lastErr = err
}

// callOnce sends a request once. retry is true if the error can be temporary.
func (c *entryClient) callOnce(ctx context.Context, method, path string, body, answer any) (retry bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return false, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return true, fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return true, fmt.Errorf("%s %s: read the response: %w", method, path, err)
	}
	if resp.StatusCode != http.StatusOK {
		retry = resp.StatusCode >= 500 || resp.StatusCode == http.StatusTooManyRequests
		return retry, fmt.Errorf("%s %s at %s: %s: %s", method, path, req.URL.Host, resp.Status, b)
	}
	if answer == nil {
		return false, nil
	}
	if err := json.Unmarshal(b, answer); err != nil {
		return false, fmt.Errorf("%s %s: decode the response: %w", method, path, err)
	}
	return false, nil
}

func (c *entryClient) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var r io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("%s %s: encode the body: %w", method, path, err)
		}
		r = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.pickEntry()+path, r)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}
