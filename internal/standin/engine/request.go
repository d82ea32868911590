package engine

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"filbertledge/internal/api"
)

// Message is one message of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ContinueFrom holds the first part of the answer, which an earlier attempt has generated.
type ContinueFrom struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// Extension is the object "filbertledge" of a request.
type Extension struct {
	ContinueFrom *ContinueFrom     `json:"continue_from,omitempty"`
	MinVersion   api.WeightVersion `json:"min_version,omitempty"`
	Seed         *uint64           `json:"seed,omitempty"`
}

// Request is an OpenAI chat or completion request, reduced to the fields that the engine reads. MaxTokens and
// MaxCompletionTokens limit the whole answer, including the tokens of ContinueFrom.
type Request struct {
	Model               string     `json:"model"`
	Messages            []Message  `json:"messages,omitempty"`
	Prompt              string     `json:"prompt,omitempty"`
	MaxTokens           int        `json:"max_tokens,omitempty"`
	MaxCompletionTokens int        `json:"max_completion_tokens,omitempty"`
	Stream              bool       `json:"stream,omitempty"`
	Seed                *uint64    `json:"seed,omitempty"`
	Extension           *Extension `json:"filbertledge,omitempty"`
}

const (
	minDefaultTokens  = 16 // shortest answer to a request without a token limit
	defaultTokenRange = 64 // number of possible answer lengths without a token limit
	vocabularySize    = 100_000
)

// ParseRequest decodes a request body and checks that it has a prompt.
func ParseRequest(body []byte) (*Request, error) {
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("decode the request: %w", err)
	}
	if len(r.Messages) == 0 && r.Prompt == "" {
		return nil, fmt.Errorf("the request has neither messages nor a prompt")
	}
	return &r, nil
}

// PromptText returns the prompt as a single text, which determines the answer and the entries of the prefix cache.
func (r *Request) PromptText() string {
	if r.Prompt != "" {
		return r.Prompt
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// EffectiveSeed returns the seed of the answer: that of the extension if set, else that of the request, else zero.
func (r *Request) EffectiveSeed() uint64 {
	if r.Extension != nil && r.Extension.Seed != nil {
		return *r.Extension.Seed
	}
	if r.Seed != nil {
		return *r.Seed
	}
	return 0
}

// AnswerTokens returns the number of tokens of the whole answer. Without a limit in the request, it is derived from
// the hash of the prompt.
func (r *Request) AnswerTokens() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return minDefaultTokens + int(xxhash.Sum64String(r.PromptText())%defaultTokenRange)
}

func (r *Request) continueFrom() ContinueFrom {
	if r.Extension == nil || r.Extension.ContinueFrom == nil {
		return ContinueFrom{}
	}
	return *r.Extension.ContinueFrom
}

func (r *Request) minVersion() api.WeightVersion {
	if r.Extension == nil {
		return 0
	}
	return r.Extension.MinVersion
}

// tokenSource generates the tokens of one answer. Each token depends on the prompt, the seed and its index, so that a
// missing or repeated token or the text of another answer is detected.
type tokenSource struct {
	state uint64
}

func newTokenSource(prompt string, seed uint64) tokenSource {
	return tokenSource{state: xxhash.Sum64String(prompt) ^ splitMix64(seed+1)}
}

// splitMix64 is the output function of the SplitMix64 generator. It is a bijection in which each input bit affects
// all output bits.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (t tokenSource) appendToken(b []byte, index int) []byte {
	b = append(b, 'w')
	b = strconv.AppendUint(b, splitMix64(t.state+uint64(index))%vocabularySize, 10)
	return append(b, ' ')
}

// Text returns the first n tokens of the answer to prompt with the given seed.
func Text(prompt string, seed uint64, n int) string {
	src := newTokenSource(prompt, seed)
	var b []byte
	for i := range n {
		b = src.appendToken(b, i)
	}
	return string(b)
}

// ExpectedText returns the first n tokens of the answer to r.
func ExpectedText(r *Request, n int) string { return Text(r.PromptText(), r.EffectiveSeed(), n) }

// FullText returns the whole text of the answer to r.
func FullText(r *Request) string { return ExpectedText(r, r.AnswerTokens()) }
