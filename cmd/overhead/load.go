package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"filbertledge/internal/api"
	"filbertledge/internal/harness"
)

const (
	maxLatency      = 30 * time.Second
	histogramDigits = 3
	maxConns        = 4096
	readTimeout     = 10 * time.Second
	// warmUpShare is the initial share of a measurement whose latencies are discarded.
	warmUpShare = 0.1
)

// target is an address that answers chat requests: an engine or an entry VM.
type target struct {
	name   string
	client *fasthttp.HostClient
	bodies map[bool][]byte // request bodies by whether the answer is streamed
	tokens int

	mu  sync.Mutex
	err error
}

// result holds the figures of one measurement.
type result struct {
	target           string
	kind             string
	answersPerSecond float64
	latency          *hdrhistogram.Histogram
	firstByte        *hdrhistogram.Histogram // of streams: time to the first token
	answers          int
	failed           int
	tokens           int
	vmCPU            time.Duration // processor time of the entry VM during the measurement
}

func newTarget(name, address string, o options) *target {
	body := func(stream bool) []byte {
		return fmt.Appendf(nil, `{"model":"model","messages":[{"role":"user","content":"measure the overhead"}],"max_tokens":%d,"stream":%t}`, o.tokens, stream)
	}
	return &target{
		name: name, tokens: o.tokens, bodies: map[bool][]byte{false: body(false), true: body(true)},
		client: &fasthttp.HostClient{
			Addr: address, MaxConns: maxConns, ReadTimeout: readTimeout, StreamResponseBody: true,
			MaxIdemponentCallAttempts: 1, ReadBufferSize: 16 << 10,
		},
	}
}

func (t *target) firstError() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}

func (t *target) waitUntilServing(limit time.Duration) error {
	var err error
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if _, _, err = t.request(false); err == nil {
			return nil
		}
	}
	return fmt.Errorf("%s does not serve: %w", t.name, err)
}

// request sends one request and returns the times until the first byte and the end of its answer.
func (t *target) request(stream bool) (first, whole time.Duration, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + t.client.Addr + "/v1/chat/completions")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set("Authorization", "Bearer "+harness.Token(rowName))
	req.Header.Set(api.HeaderRow, rowName)
	req.Header.Set(api.HeaderAttemptID, "overhead")
	req.SetBodyRaw(t.bodies[stream])
	start := time.Now()
	if err := t.client.Do(req, resp); err != nil {
		return 0, 0, err
	}
	first, err = t.read(resp, stream, start)
	return first, time.Since(start), err
}

var errTruncated = errors.New("the streamed answer is truncated: its end mark or some of its tokens are missing")

func (t *target) read(resp *fasthttp.Response, stream bool, start time.Time) (first time.Duration, err error) {
	body := bufio.NewReader(resp.BodyStream())
	if resp.StatusCode() != fasthttp.StatusOK {
		text, _ := io.ReadAll(body)
		return 0, fmt.Errorf("status %d: %s", resp.StatusCode(), text)
	}
	events, whole := 0, false
	for {
		line, err := body.ReadSlice('\n')
		if len(line) > 0 && events == 0 {
			first = time.Since(start)
		}
		if bytes.HasPrefix(line, []byte("data: ")) {
			events++
			whole = bytes.Contains(line, []byte("[DONE]"))
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return 0, err
		}
	}
	if stream && (!whole || events < t.tokens) {
		return 0, errTruncated
	}
	return first, nil
}

// recorder collects the latencies of one measurement.
type recorder struct {
	mu         sync.Mutex
	result     result
	recordFrom time.Time // latencies of requests sent earlier are discarded
}

func (t *target) newRecorder(kind string, stream bool, start time.Time, d time.Duration) *recorder {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits)
	}
	if stream {
		kind += ", stream"
	} else {
		kind += ", whole"
	}
	return &recorder{
		result:     result{target: t.name, kind: kind, latency: histogram(), firstByte: histogram()},
		recordFrom: start.Add(time.Duration(float64(d) * warmUpShare)),
	}
}

func (t *target) measureRequest(r *recorder, stream bool) {
	sent := time.Now()
	first, whole, err := t.request(stream)
	if err != nil {
		t.mu.Lock()
		t.err = err
		t.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.result.failed++
		return
	}
	r.result.answers++
	r.result.tokens += t.tokens
	if sent.After(r.recordFrom) {
		_ = r.result.latency.RecordValue(min(whole, maxLatency).Microseconds())
		_ = r.result.firstByte.RecordValue(min(first, maxLatency).Microseconds())
	}
}

// closedLoop sends o.concurrency requests at a time, each as soon as an earlier one is answered.
func (t *target) closedLoop(o options, stream bool) result {
	start := time.Now()
	r := t.newRecorder("full load", stream, start, o.duration)
	var wg sync.WaitGroup
	for range o.concurrency {
		wg.Go(func() {
			for time.Since(start) < o.duration {
				t.measureRequest(r, stream)
			}
		})
	}
	wg.Wait()
	r.result.answersPerSecond = float64(r.result.answers) / time.Since(start).Seconds()
	return r.result
}

// openLoop sends requests at exponentially distributed intervals, whether or not earlier ones were answered. Latency
// is measured from the actual send time, so that delays of the load generator's own timer are not counted.
func (t *target) openLoop(o options, stream bool, rate float64) result {
	rng := rand.New(rand.NewPCG(o.seed, 5))
	start := time.Now()
	r := t.newRecorder("half load", stream, start, o.duration)
	var wg sync.WaitGroup
	for at := start; at.Sub(start) < o.duration; at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))) {
		if wait := time.Until(at); wait > 0 {
			time.Sleep(wait)
		}
		wg.Go(func() { t.measureRequest(r, stream) })
	}
	wg.Wait()
	r.result.answersPerSecond = float64(r.result.answers) / time.Since(start).Seconds()
	return r.result
}
