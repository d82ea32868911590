// Package scoring simulates a service that scores samples.
package scoring

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"filbertledge/internal/standin"
)

// Options configures a scoring service.
type Options struct {
	Listen   string        // default 127.0.0.1:0
	CallTime time.Duration // duration of a call
}

// Request is the body of a scoring call.
type Request struct {
	Row        string `json:"row"`
	Step       uint64 `json:"step"`
	Group      string `json:"group"`
	Member     int    `json:"member"`
	Prompt     string `json:"prompt"`
	Completion string `json:"completion"`
}

// Reply is the response body of a scoring call.
type Reply struct {
	Score float64 `json:"score"` // between 0 and 1
}

// Service is a running simulated scoring service.
type Service struct {
	opts   Options
	server *standin.Server
	faults *standin.FaultState
	calls  atomic.Int64
}

// Start starts a scoring service.
func Start(opts Options) (*Service, error) {
	if opts.Listen == "" {
		opts.Listen = "127.0.0.1:0"
	}
	s := &Service{opts: opts, faults: standin.NewFaultState(false)}
	var err error
	s.server, err = standin.Serve(opts.Listen, s.route)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Address returns the IP:port of the service. Every path except /standin/v1/faults accepts scoring calls.
func (s *Service) Address() string { return s.server.Address() }

// Calls returns the number of valid scoring calls so far.
func (s *Service) Calls() int64 { return s.calls.Load() }

// Close stops the service and resets its connections.
func (s *Service) Close() { s.server.Abort() }

// Score returns the score of a completion. It is derived from a hash of the text, so that a test can compute it too.
func Score(completion string) float64 {
	const steps = 1000
	return float64(xxhash.Sum64String(completion)%(steps+1)) / steps
}

func (s *Service) route(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/standin/v1/faults" {
		var f standin.Faults
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
			standin.ReplyError(ctx, http.StatusBadRequest, "invalid_request_error", err.Error())
			return
		}
		s.faults.Apply(f)
		standin.ReplyJSON(ctx, http.StatusOK, struct{}{})
		return
	}
	var r Request
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil || r.Row == "" {
		standin.ReplyError(ctx, http.StatusBadRequest, "invalid_request_error", "the body is not a scoring request")
		return
	}
	s.calls.Add(1)
	time.Sleep(time.Duration(float64(s.opts.CallTime)*s.faults.SlowFactor()) + time.Duration(s.faults.AnswerDelayMS())*time.Millisecond)
	standin.ReplyJSON(ctx, http.StatusOK, Reply{Score: Score(r.Completion)})
}
