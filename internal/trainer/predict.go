package trainer

import (
	"encoding/json"
	"math/bits"
	"slices"
	"sync"

	"filbertledge/internal/api"
)

// Parameters of the length prediction.
const (
	keptLengths      = 64
	predictedPercent = 90
	defaultLength    = 512 // tokens, without history
	maxLength        = 1 << 17
)

// predictor predicts the output length of a row's prompts from the row's own history by prompt size class.
type predictor struct {
	mu   sync.Mutex
	rows map[api.RowName]map[int]*lengths
}

type lengths struct {
	ring []int
	next int
}

func newPredictor() *predictor { return &predictor{rows: map[api.RowName]map[int]*lengths{}} }

func sizeClass(prompt []byte) int { return bits.Len(uint(len(prompt))) }

func (p *predictor) observe(row api.RowName, prompt []byte, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	classes, ok := p.rows[row]
	if !ok {
		classes = map[int]*lengths{}
		p.rows[row] = classes
	}
	l, ok := classes[sizeClass(prompt)]
	if !ok {
		l = &lengths{}
		classes[sizeClass(prompt)] = l
	}
	if len(l.ring) < keptLengths {
		l.ring = append(l.ring, tokens)
		return
	}
	l.ring[l.next] = tokens
	l.next = (l.next + 1) % keptLengths
}

// predict returns the 90th percentile of the lengths seen for prompts of this size, but at most the limit that
// the prompt itself sets.
func (p *predictor) predict(row api.RowName, prompt []byte) int {
	p.mu.Lock()
	l := p.rows[row][sizeClass(prompt)]
	var sorted []int
	if l != nil {
		sorted = slices.Sorted(slices.Values(l.ring))
	}
	p.mu.Unlock()
	n := defaultLength
	if len(sorted) > 0 {
		n = sorted[(len(sorted)-1)*predictedPercent/100]
	}
	if limit := tokenLimit(prompt); limit > 0 {
		n = min(n, limit)
		if len(sorted) == 0 {
			n = limit
		}
	}
	return min(max(n, 1), maxLength)
}

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
