package trainer

import (
	"encoding/json"
	"math/bits"
	"slices"
	"sync"

	"filbertledge/internal/api"
)

// Parameters of the prediction of output lengths.
const (
	maxObservations      = 64 // output lengths kept per row and size class
	predictionPercentile = 90
	defaultLengthTokens  = 512 // used for a size class without observations
	maxLengthTokens      = 1 << 17
)

// predictor predicts the output length of prompts in tokens. It keeps the last output lengths of each row and prompt
// size class.
type predictor struct {
	mu   sync.Mutex
	rows map[api.RowName]map[int]*lengthHistory
}

// lengthHistory is a ring buffer of the last output lengths.
type lengthHistory struct {
	values    []int
	nextIndex int
}

func newPredictor() *predictor { return &predictor{rows: map[api.RowName]map[int]*lengthHistory{}} }

// sizeClass groups prompts by the power of two of their size in bytes.
func sizeClass(prompt []byte) int { return bits.Len(uint(len(prompt))) }

func (p *predictor) observe(row api.RowName, prompt []byte, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	classes, ok := p.rows[row]
	if !ok {
		classes = map[int]*lengthHistory{}
		p.rows[row] = classes
	}
	history, ok := classes[sizeClass(prompt)]
	if !ok {
		history = &lengthHistory{}
		classes[sizeClass(prompt)] = history
	}
	if len(history.values) < maxObservations {
		history.values = append(history.values, tokens)
		return
	}
	history.values[history.nextIndex] = tokens
	history.nextIndex = (history.nextIndex + 1) % maxObservations
}

// predict returns the 90th percentile of the observed lengths for prompts of this size class, but at most the token
// limit in the request. Without observations, it returns that limit or else a default.
func (p *predictor) predict(row api.RowName, prompt []byte) int {
	p.mu.Lock()
	history := p.rows[row][sizeClass(prompt)]
	var sorted []int
	if history != nil {
		sorted = slices.Sorted(slices.Values(history.values))
	}
	p.mu.Unlock()
	n := defaultLengthTokens
	if len(sorted) > 0 {
		n = sorted[(len(sorted)-1)*predictionPercentile/100]
	}
	if limit := tokenLimit(prompt); limit > 0 {
		n = min(n, limit)
		if len(sorted) == 0 {
			n = limit
		}
	}
	return min(max(n, 1), maxLengthTokens)
}

// tokenLimit returns the output limit that a chat request sets, or zero if it sets none.
func tokenLimit(prompt []byte) int {
	var request struct {
		MaxTokens           int `json:"max_tokens"`
		MaxCompletionTokens int `json:"max_completion_tokens"`
	}
	if json.Unmarshal(prompt, &request) != nil {
		return 0
	}
	return max(request.MaxTokens, request.MaxCompletionTokens)
}
