package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"filbertledge/internal/api"
	"filbertledge/internal/harness"
)

const (
	shortTokens     = 20
	longTokenFactor = 30 // long requests have this many times more tokens
	longOneIn       = 10 // one chat request, or one group of a step, in this many is long
	maxLatency      = 2 * time.Minute
	histogramDigits = 3
	requestTimeout  = time.Minute
	maxConns        = 256
)

// customers sends the requests of one row at exponentially distributed intervals, whether or not earlier requests
// were answered.
type customers struct {
	row     harness.RowSpec
	entries []string
	rate    float64
	rng     *rand.Rand
	client  *http.Client
	start   time.Time

	mu             sync.Mutex
	short          *hdrhistogram.Histogram // latencies in microseconds
	long           *hdrhistogram.Histogram
	sent           int
	failed         map[string]int // by error code
	refusedMinutes map[int]bool   // minutes since the start in which a request failed
}

func newCustomers(l *load, row harness.RowSpec, n uint64) *customers {
	rate := l.opts.callRate
	if row.Kind == "chat" {
		rate = l.opts.chatRate
	}
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits)
	}
	return &customers{
		row: row, entries: l.entries, rate: rate, rng: rand.New(rand.NewPCG(l.opts.seed, n)), start: time.Now(),
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxConns}},
		short:  histogram(), long: histogram(), failed: map[string]int{}, refusedMinutes: map[int]bool{},
	}
}

// run sends requests until arrivals ends, and waits for their answers. Requests are canceled when ctx ends.
func (c *customers) run(arrivals, ctx context.Context) {
	var wg sync.WaitGroup
	at := time.Now()
	for i := 0; ; i++ {
		at = at.Add(time.Duration(c.rng.ExpFloat64() / c.rate * float64(time.Second)))
		select {
		case <-arrivals.Done():
			wg.Wait()
			return
		case <-time.After(time.Until(at)):
		}
		long := c.row.Kind == "chat" && c.rng.IntN(longOneIn) == 0
		entry := c.entries[c.rng.IntN(len(c.entries))]
		wg.Go(func() { c.send(ctx, entry, i, long) })
	}
}

func (c *customers) send(ctx context.Context, entry string, i int, long bool) {
	start := time.Now()
	code, err := c.request(ctx, entry, i, long)
	took := time.Since(start)
	if err != nil {
		code = "connection"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if code != "" {
		c.failed[code]++
		c.refusedMinutes[int(start.Sub(c.start)/time.Minute)] = true
		return
	}
	h := c.short
	if long {
		h = c.long
	}
	_ = h.RecordValue(min(took, maxLatency).Microseconds())
}

// request sends one request. It returns an error code if the answer is not a complete success, and an empty code
// otherwise.
func (c *customers) request(ctx context.Context, entry string, i int, long bool) (code string, err error) {
	req, err := c.newRequest(ctx, entry, i, long)
	if err != nil {
		return "", err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprintf("%d %s", resp.StatusCode, resp.Header.Get(api.HeaderError)), nil
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") && !strings.Contains(string(body), "data: [DONE]") {
		return "stream without end mark", nil
	}
	return "", nil
}

func (c *customers) newRequest(ctx context.Context, entry string, i int, long bool) (*http.Request, error) {
	path, body := "/services/"+c.row.Name+"/call", fmt.Sprintf(`{"call":%d}`, i)
	if c.row.Kind == "chat" {
		tokens := shortTokens
		if long {
			tokens *= longTokenFactor
		}
		path = "/v1/chat/completions"
		body = fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":"request %d"}]}`, c.row.Model, tokens, i%2 == 1, i)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+harness.Token(c.row.Name))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(api.HeaderRow, c.row.Name)
	if c.row.NonIdempotent {
		req.Header.Set(api.HeaderIdempotencyKey, uuid.Must(uuid.NewV7()).String())
	}
	return req, nil
}
