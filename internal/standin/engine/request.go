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

// ContinueFrom names the text of an answer that another attempt generated already.
type ContinueFrom struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// Extension is the request object "filbertledge".
type Extension struct {
	ContinueFrom *ContinueFrom     `json:"continue_from,omitempty"`
	MinVersion   api.WeightVersion `json:"min_version,omitempty"`
	Seed         *uint64           `json:"seed,omitempty"`
}

// Request is an OpenAI chat or completion request, as far as the stand-in reads it. MaxTokens counts the
// tokens of the whole answer, those of ContinueFrom included.
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
	minHashedTokens = 16 // shortest answer without max_tokens
	hashedTokenSpan = 64
	tokenValues     = 100_000
)

// ParseRequest reads a request body.
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

// PromptText returns the prompt as one text, on which the answer and the prefix cache depend.
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

// EffectiveSeed returns the seed of the answer: that of the extension, else that of the request, else zero.
func (r *Request) EffectiveSeed() uint64 {
	if r.Extension != nil && r.Extension.Seed != nil {
		return *r.Extension.Seed
	}
	if r.Seed != nil {
		return *r.Seed
	}
	return 0
}

// AnswerTokens returns the number of tokens of the whole answer.
func (r *Request) AnswerTokens() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return minHashedTokens + int(xxhash.Sum64String(r.PromptText())%hashedTokenSpan)
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

// tokenSource generates the tokens of one answer. Each token depends on the prompt, the seed and its index, so
// that a gap, a repetition or the text of another answer is visible.
type tokenSource struct {
	state uint64
}

func newTokenSource(prompt string, seed uint64) tokenSource {
	return tokenSource{state: xxhash.Sum64String(prompt) ^ mix(seed+1)}
}

// mix is the finalizer of SplitMix64, a bijection with good avalanche.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (t tokenSource) appendToken(b []byte, index int) []byte {
	b = append(b, 'w')
	b = strconv.AppendUint(b, mix(t.state+uint64(index))%tokenValues, 10)
	return append(b, ' ')
}

// Text returns the first n tokens of the answer to prompt under seed.
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

// FullText returns the whole answer to r.
func FullText(r *Request) string { return ExpectedText(r, r.AnswerTokens()) }
