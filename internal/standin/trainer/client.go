// Package trainer is a stand-in for a trainer: it runs steps against the trainer API through changing entry
// VMs, acknowledges samples and checks what it receives.
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

// Bounds of one call. A call is resent through another entry VM until ctx ends.
const (
	fetchWait    = time.Second
	fetchMax     = 64
	callTimeout  = 5 * time.Second
	resendAfter  = 50 * time.Millisecond
	maxBodyBytes = 8 << 20
)

// SampleID names a sample within a row.
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

// Timing tells where the time of a sample went.
type Timing struct {
	QueuedMS    int64 `json:"queued_ms"`
	GeneratedMS int64 `json:"generated_ms"`
}

// Group is one group to submit. Request is an OpenAI chat request.
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

type fetchAnswer struct {
	Samples       []Sample          `json:"samples"`
	Outstanding   int               `json:"outstanding"`
	NewestVersion api.WeightVersion `json:"newest_version"`
}

// caller sends calls to entry VMs, each to another one by random choice.
type caller struct {
	entries func() []string
	token   string
	client  *http.Client

	mu      sync.Mutex
	rng     *rand.Rand
	resent  int
	lastErr error
}

func (c *caller) pick() string {
	list := c.entries()
	c.mu.Lock()
	defer c.mu.Unlock()
	return list[c.rng.IntN(len(list))]
}

// call sends a request, and resends it through other entry VMs until one answers 200. An answer that says
// that the request itself is wrong ends it at once.
func (c *caller) call(ctx context.Context, method, path string, body, answer any) error {
	for {
		retry, err := c.once(ctx, method, path, body, answer)
		if err == nil || !retry {
			return err
		}
		c.note(err)
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s %s: %w; the last attempt failed with: %w", method, path, ctx.Err(), err)
		case <-time.After(resendAfter):
		}
	}
}

func (c *caller) note(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resent++
	c.lastErr = err
}

func (c *caller) once(ctx context.Context, method, path string, body, answer any) (retry bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := c.request(ctx, method, path, body)
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
		return true, fmt.Errorf("%s %s: read the answer: %w", method, path, err)
	}
	if resp.StatusCode != http.StatusOK {
		retry = resp.StatusCode >= 500 || resp.StatusCode == http.StatusTooManyRequests
		return retry, fmt.Errorf("%s %s at %s: %s: %s", method, path, req.URL.Host, resp.Status, b)
	}
	if answer == nil {
		return false, nil
	}
	if err := json.Unmarshal(b, answer); err != nil {
		return false, fmt.Errorf("%s %s: decode the answer: %w", method, path, err)
	}
	return false, nil
}

func (c *caller) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var r io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("%s %s: encode the body: %w", method, path, err)
		}
		r = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.pick()+path, r)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}
