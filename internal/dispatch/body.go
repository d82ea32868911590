package dispatch

import (
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/table"
)

// attemptOptions are the fields of an engine request that differ between attempts.
type attemptOptions struct {
	stream          bool
	generatedText   string // by earlier attempts
	generatedTokens int
}

// engineExtension is the JSON object "filbertledge" in the body of an engine request.
type engineExtension struct {
	ContinueFrom *resumePoint      `json:"continue_from,omitempty"`
	MinVersion   api.WeightVersion `json:"min_version,omitempty"`
	Seed         *uint64           `json:"seed,omitempty"`
}

type resumePoint struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// attemptBody returns the request body of an attempt. It replaces an object "filbertledge" that the caller sent,
// because only this service may set it.
func (r *run) attemptBody(opts attemptOptions) ([]byte, error) {
	if !r.usesEngine() {
		return r.request.Body, nil
	}
	extension := engineExtension{MinVersion: r.minVersion, Seed: r.seed}
	if opts.generatedTokens > 0 {
		extension.ContinueFrom = &resumePoint{Text: opts.generatedText, Tokens: opts.generatedTokens}
	}
	body, err := setModel(r.request.Body, r.row)
	if err == nil {
		body, err = sjson.SetBytes(body, "filbertledge", extension)
	}
	if err == nil && opts.stream {
		body, err = sjson.SetBytes(body, "stream", true)
	}
	return body, errs.Wrap(err, errs.InvalidArgument, "send a JSON object", "request body cannot be edited as a JSON object")
}

func setModel(body []byte, row table.Row) ([]byte, error) {
	if row.Model == "" || gjson.GetBytes(body, "model").String() == row.Model {
		return body, nil
	}
	return sjson.SetBytes(body, "model", row.Model)
}
