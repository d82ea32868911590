package dispatch

import (
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/table"
)

// prepared are the fields that an attempt sets in an engine's request.
type prepared struct {
	stream bool
	text   string // already generated
	tokens int
}

// engineOptions is the object "filbertledge" of an engine's request.
type engineOptions struct {
	ContinueFrom *continueFrom     `json:"continue_from,omitempty"`
	MinVersion   api.WeightVersion `json:"min_version,omitempty"`
	Seed         *uint64           `json:"seed,omitempty"`
}

type continueFrom struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// prepare returns the body of an attempt. A caller's own object "filbertledge" is replaced: only the service
// sets it.
func (r *run) prepare(p prepared) ([]byte, error) {
	if !r.engine() {
		return r.work.Body, nil
	}
	options := engineOptions{MinVersion: r.minVersion, Seed: r.seed}
	if p.tokens > 0 {
		options.ContinueFrom = &continueFrom{Text: p.text, Tokens: p.tokens}
	}
	body, err := setModel(r.work.Body, r.row)
	if err == nil {
		body, err = sjson.SetBytes(body, "filbertledge", options)
	}
	if err == nil && p.stream {
		body, err = sjson.SetBytes(body, "stream", true)
	}
	return body, errs.Wrap(err, errs.InvalidArgument, "send a JSON object", "request body cannot be read")
}

func setModel(body []byte, row table.Row) ([]byte, error) {
	if row.Model == "" || gjson.GetBytes(body, "model").String() == row.Model {
		return body, nil
	}
	return sjson.SetBytes(body, "model", row.Model)
}
