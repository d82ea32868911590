package caller

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"filbertledge/internal/api"
	"filbertledge/internal/backend"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/pki"
	"filbertledge/internal/table"
)

const (
	// defaultDeadline applies if neither the request nor its row sets a deadline.
	defaultDeadline = time.Minute
	// maxDeadline equals how long a drain waits for running requests.
	maxDeadline       = 10 * time.Minute
	maxRequestIDBytes = 128
	keyUUIDVersion    = 7
)

// readRequestID sets the request's ID to the one that the caller sent, or else to a new one.
func (r *request) readRequestID() error {
	r.id = uuid.Must(uuid.NewV7()).String()
	sent := string(r.http.Request.Header.Peek(api.HeaderRequestID))
	if sent == "" {
		return nil
	}
	if !isPrintable(sent) || len(sent) > maxRequestIDBytes {
		return errs.New(errs.InvalidArgument, "send at most 128 printable ASCII characters", "header %s is malformed", api.HeaderRequestID)
	}
	r.id = sent
	return nil
}

func isPrintable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// readHeaders reads the headers whose meaning depends on the row.
func (r *request) readHeaders() error {
	header := &r.http.Request.Header
	limit, err := parseDeadline(string(header.Peek(api.HeaderDeadline)), r.row.Deadline)
	if err != nil {
		return err
	}
	r.deadline = r.start.Add(limit)
	marked, err := parseBool(string(header.Peek(api.HeaderNonIdempotent)))
	if err != nil {
		return err
	}
	r.nonIdempotent = marked || r.row.NonIdempotent
	r.backendRequest.NonIdempotent = r.nonIdempotent
	r.backendRequest.Row, r.backendRequest.RequestID = r.row, r.id
	if r.nonIdempotent {
		if _, err := parseKey(r.key); err != nil {
			return err
		}
	}
	r.backendRequest.IdempotencyKey = r.key
	return nil
}

// parseDeadline parses the deadline header, a number of milliseconds. Without the header it returns the deadline of the
// row, or else the default.
func parseDeadline(s string, rowDeadline time.Duration) (time.Duration, error) {
	if s == "" {
		if rowDeadline > 0 {
			return min(rowDeadline, maxDeadline), nil
		}
		return defaultDeadline, nil
	}
	ms, err := strconv.ParseUint(s, 10, 32)
	if err != nil || ms == 0 || time.Duration(ms)*time.Millisecond > maxDeadline {
		return 0, errs.New(errs.InvalidArgument, "send milliseconds from 1 to 600000", "header %s is malformed", api.HeaderDeadline)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func parseBool(s string) (bool, error) {
	switch s {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	}
	return false, errs.New(errs.InvalidArgument, "send true or false", "header %s is malformed", api.HeaderNonIdempotent)
}

// parseKey parses an idempotency key. It accepts only the canonical text form of a UUID, in upper or lower case.
func parseKey(s string) (uuid.UUID, error) {
	const remedy = "send a new UUID version 7 for each call and the same one with each resend"
	if s == "" {
		return uuid.Nil, errs.New(errs.InvalidArgument, remedy, "a non-idempotent call needs the header %s", api.HeaderIdempotencyKey)
	}
	key, err := uuid.Parse(s)
	if err != nil || key.Version() != keyUUIDVersion || key.Variant() != uuid.RFC4122 || key.String() != strings.ToLower(s) {
		return uuid.Nil, errs.New(errs.InvalidArgument, remedy, "header %s is not a UUID version 7", api.HeaderIdempotencyKey)
	}
	return key, nil
}

// authenticate checks the caller's token against the token digest of the row, in constant time.
func (h *Handler) authenticate(ctx *fasthttp.RequestCtx, row *table.Row) error {
	if tokenMatchesRow(bearerToken(ctx), row) {
		return nil
	}
	h.recordRefusedCredential(ctx, row.Name)
	return errs.New(errs.Unauthenticated, "send the row's token as Authorization: Bearer", "token does not belong to row %q", row.Name)
}

// bearerToken returns the token of the Authorization header, or an empty string for a scheme other than Bearer.
func bearerToken(ctx *fasthttp.RequestCtx) string {
	scheme, token, _ := strings.Cut(string(ctx.Request.Header.Peek("Authorization")), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return token
}

// tokenMatchesRow reports whether the token belongs to the row. No token belongs to a row without a token digest.
func tokenMatchesRow(token string, row *table.Row) bool {
	return pki.TokenMatches(token, row.TokenSHA256) && token != ""
}

// recordRefusedCredential records the event of a refused token, without the token itself.
func (h *Handler) recordRefusedCredential(ctx *fasthttp.RequestCtx, row api.RowName) {
	if h.opts.Events != nil {
		h.opts.Events.Record(events.Event{Name: events.CredentialRefused, Row: row, Detail: "from " + ctx.RemoteAddr().String()})
	}
}

// parseCompletion reads a request to one of the OpenAI completion endpoints.
func (h *Handler) parseCompletion(r *request, path string) error {
	if !r.http.IsPost() {
		return errs.New(errs.InvalidArgument, "use POST", "method %s is not allowed for %s", truncate(string(r.http.Method())), path)
	}
	body := append([]byte(nil), r.http.PostBody()...)
	if !gjson.ValidBytes(body) || !gjson.ParseBytes(body).IsObject() {
		return errs.New(errs.InvalidArgument, "send a JSON object", "request body is not a JSON object")
	}
	name := string(r.http.Request.Header.Peek(api.HeaderRow))
	if name == "" {
		name = gjson.GetBytes(body, "model").String()
	}
	if name == "" {
		return errs.New(errs.InvalidArgument, "name the row in "+api.HeaderRow+" or in model", "request names no row")
	}
	if err := h.findRow(r, api.RowName(name), table.KindChat); err != nil {
		return err
	}
	r.backendRequest.Method, r.backendRequest.Path, r.backendRequest.ContentType, r.backendRequest.Body = fasthttp.MethodPost, path, "application/json", body
	if r.wantsStream() && gjson.GetBytes(body, "n").Int() > 1 {
		return errs.New(errs.InvalidArgument, "set n to 1 or stream to false", "a streamed answer can have only one choice")
	}
	return nil
}

func (r *request) wantsStream() bool {
	return r.row.Kind == table.KindChat && gjson.GetBytes(r.backendRequest.Body, "stream").Bool()
}

// parseService reads a request to a plain service.
func (h *Handler) parseService(r *request) error {
	name, path, err := splitServiceTarget(string(r.http.RequestURI()))
	if err != nil {
		return err
	}
	if err := h.findRow(r, api.RowName(name), table.KindService); err != nil {
		return err
	}
	r.backendRequest.Method, r.backendRequest.Path = string(r.http.Method()), path
	r.backendRequest.ContentType = string(r.http.Request.Header.ContentType())
	r.backendRequest.Body = append([]byte(nil), r.http.PostBody()...)
	r.backendRequest.Header = forwardedHeaders(&r.http.Request.Header)
	return nil
}

// splitServiceTarget splits the request target /services/<row>/<path>. It decodes the row name and leaves the path as
// the caller encoded it.
func splitServiceTarget(uri string) (row, path string, err error) {
	rest, _ := strings.CutPrefix(uri, prefixServices)
	end := strings.IndexAny(rest, "/?")
	segment := rest
	path = "/"
	if end >= 0 {
		segment = rest[:end]
		path = rest[end:]
	}
	if strings.HasPrefix(path, "?") {
		path = "/" + path
	}
	row, err = url.PathUnescape(segment)
	if err != nil || row == "" || !isPrintable(path) || strings.ContainsRune(path, '#') {
		return "", "", errs.New(errs.InvalidArgument, "use /services/<row>/<path>", "request target is malformed")
	}
	return row, path, nil
}

// forwardedHeaders returns the headers of a caller's request that are passed on to a plain service.
func forwardedHeaders(h *fasthttp.RequestHeader) []backend.Header {
	var out []backend.Header
	for k, v := range h.All() {
		if isForwarded(string(k)) {
			out = append(out, backend.Header{Name: string(k), Value: string(v)})
		}
	}
	return out
}

// isForwarded reports whether a header is passed on to a plain service. Headers of the connection, credentials and
// filbertledge's own headers are not.
func isForwarded(name string) bool {
	switch strings.ToLower(name) {
	case "host", "authorization", "connection", "content-length", "content-type", "transfer-encoding", "keep-alive", "te", "trailer",
		"upgrade", "proxy-authorization", "proxy-connection", "expect", "idempotency-key":
		return false
	}
	return !strings.HasPrefix(strings.ToLower(name), "filbertledge-")
}
