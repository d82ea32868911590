package table

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"filbertledge/internal/api"
)

func parseName(s string, to *string) *valueProblem {
	if s == "" {
		return &valueProblem{"the value is empty", "give a name"}
	}
	return parseOptionalName(s, to)
}

func parseOptionalName(s string, to *string) *valueProblem {
	if len(s) > maxNameBytes {
		return &valueProblem{fmt.Sprintf("the name has %d bytes", len(s)), fmt.Sprintf("use at most %d", maxNameBytes)}
	}
	for i := range len(s) {
		if !isNameByte(s[i]) {
			return &valueProblem{fmt.Sprintf("byte %d is not allowed in a name", i+1), "use letters, digits, '.', '_' and '-'"}
		}
	}
	*to = s
	return nil
}

func isNameByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || b == '.' || b == '_' || b == '-'
}

func parseKind(r *Row, s string) *valueProblem {
	switch Kind(s) {
	case KindChat, KindRollout, KindService:
		r.Kind = Kind(s)
		return nil
	default:
		return &valueProblem{"this kind of workload does not exist", "use chat, rollout or service"}
	}
}

func parseUint(s string, limit uint64, to *uint64) *valueProblem {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return &valueProblem{"the value is not a whole number", "use digits only"}
	}
	if n > limit {
		return &valueProblem{"the number is too large", fmt.Sprintf("use at most %d", limit)}
	}
	*to = n
	return nil
}

func parseInt(s string, low, high int, to *int) *valueProblem {
	n, err := strconv.Atoi(s)
	if err != nil {
		return &valueProblem{"the value is not a whole number", "use digits only"}
	}
	if n < low || n > high {
		return &valueProblem{"the number is out of range", fmt.Sprintf("use %d to %d", low, high)}
	}
	*to = n
	return nil
}

func parseDuration(s string, limit time.Duration, to *time.Duration) *valueProblem {
	d, err := time.ParseDuration(s)
	if err != nil {
		return &valueProblem{"the value is not a duration with a unit", "write it like 150ms, 20s or 33m"}
	}
	if d < 0 || d > limit {
		return &valueProblem{"the duration is out of range", "use 0s to " + formatDuration(limit)}
	}
	*to = d
	return nil
}

// formatDuration omits the trailing zero units that time.Duration.String prints: 33m instead of 33m0s.
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func parseWeights(r *Row, s string) *valueProblem {
	if s == "any" || s == "" {
		r.Weights = WeightVersionRange{}
		return nil
	}
	low, high, isRange := strings.Cut(s, "..")
	if !isRange {
		high = low
	}
	weights := WeightVersionRange{}
	if f := parseWeightBound(low, &weights.Min); f != nil {
		return f
	}
	if f := parseWeightBound(high, &weights.Max); f != nil {
		return f
	}
	if f := checkWeightRange(weights); f != nil {
		return f
	}
	r.Weights = weights
	return nil
}

// weightVersionBits bounds the weight versions in a range: each is below 1<<63.
const weightVersionBits = 63

// parseWeightBound parses one bound of a range of weight versions. An empty bound leaves to at zero: no bound.
func parseWeightBound(s string, to *api.WeightVersion) *valueProblem {
	if s == "" {
		return nil
	}
	n, err := strconv.ParseUint(s, 10, weightVersionBits)
	if err != nil || n == 0 {
		return &valueProblem{"the value is not a range of versions", "write any, 5, 5.., ..9 or 5..9; versions start at 1"}
	}
	*to = api.WeightVersion(n)
	return nil
}

func checkWeightRange(w WeightVersionRange) *valueProblem {
	if w.Max != 0 && w.Min > w.Max {
		return &valueProblem{"the range is empty", "put the lower version first"}
	}
	return nil
}

func parseNonIdempotent(r *Row, s string) *valueProblem {
	switch s {
	case "true":
		r.NonIdempotent = true
	case "false":
		r.NonIdempotent = false
	default:
		return &valueProblem{"the value is not a boolean", "use true or false"}
	}
	return nil
}

func parseScoring(r *Row, s string) *valueProblem {
	if s == "" {
		r.Scoring = ""
		return nil
	}
	if len(s) > maxURLBytes {
		return &valueProblem{fmt.Sprintf("the URL has %d bytes", len(s)), fmt.Sprintf("use at most %d", maxURLBytes)}
	}
	u, err := url.Parse(s)
	if err != nil || !utf8.ValidString(s) || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return &valueProblem{"the value is not an HTTP URL", "write it like http://10.0.0.5:8080/score"}
	}
	r.Scoring = s
	return nil
}

func parseTokenDigest(r *Row, s string) *valueProblem {
	const remedy = "write the SHA-256 of the token as 64 lower-case hexadecimal digits"
	if len(s) != tokenDigestLength {
		return &valueProblem{fmt.Sprintf("the digest has %d characters", len(s)), remedy}
	}
	for i := range len(s) {
		if (s[i] < '0' || s[i] > '9') && (s[i] < 'a' || s[i] > 'f') {
			return &valueProblem{fmt.Sprintf("character %d is not a lower-case hexadecimal digit", i+1), remedy}
		}
	}
	r.TokenSHA256 = s
	return nil
}
