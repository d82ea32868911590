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
	// defaultDeadline is used for rows without one.
	defaultDeadline = time.Minute
	// maxDeadline equals the time that a drain waits for running requests.
	maxDeadline = 10 * time.Minute
	maxIDBytes  = 128
	uuidVersion = 7
)

func (r *request) readID() error {
	r.id = uuid.Must(uuid.NewV7()).String()
	sent := string(r.http.Request.Header.Peek(api.HeaderRequestID))
	if sent == "" {
		return nil
	}
	if !printable(sent) || len(sent) > maxIDBytes {
		return errs.New(errs.InvalidArgument, "send at most 128 printable ASCII characters", "header %s is malformed", api.HeaderRequestID)
	}
	r.id = sent
	return nil
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// readHeaders reads the headers that need the row.
func (r *request) readHeaders() error {
	header := &r.http.Request.Header
	limit, err := parseDeadline(string(header.Peek(api.HeaderDeadline)), r.row.Deadline)
	if err != nil {
		return err
	}
	r.deadline = r.start.Add(limit)
	marked, err := parseFlag(string(header.Peek(api.HeaderNonIdempotent)))
	if err != nil {
		return err
	}
	r.nonIdem = marked || r.row.NonIdempotent
	r.work.NonIdempotent = r.nonIdem
	r.work.Row, r.work.RequestID = r.row, r.id
	if r.nonIdem {
		if _, err := parseKey(r.key); err != nil {
			return err
		}
	}
	r.work.IdempotencyKey = r.key
	return nil
}

// parseDeadline reads a number of milliseconds.
func parseDeadline(s string, row time.Duration) (time.Duration, error) {
	if s == "" {
		if row > 0 {
			return min(row, maxDeadline), nil
		}
		return defaultDeadline, nil
	}
	ms, err := strconv.ParseUint(s, 10, 32)
	if err != nil || ms == 0 || time.Duration(ms)*time.Millisecond > maxDeadline {
		return 0, errs.New(errs.InvalidArgument, "send milliseconds from 1 to 600000", "header %s is malformed", api.HeaderDeadline)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func parseFlag(s string) (bool, error) {
	switch s {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	}
	return false, errs.New(errs.InvalidArgument, "send true or false", "header %s is malformed", api.HeaderNonIdempotent)
}

// parseKey accepts only the canonical form, so that one key has one spelling.
func parseKey(s string) (uuid.UUID, error) {
	const remedy = "send a new UUID version 7 for each call and the same one with each resend"
	if s == "" {
		return uuid.Nil, errs.New(errs.InvalidArgument, remedy, "a non-idempotent call needs the header %s", api.HeaderIdempotencyKey)
	}
	key, err := uuid.Parse(s)
	if err != nil || key.Version() != uuidVersion || key.Variant() != uuid.RFC4122 || key.String() != strings.ToLower(s) {
		return uuid.Nil, errs.New(errs.InvalidArgument, remedy, "header %s is not a UUID version 7", api.HeaderIdempotencyKey)
	}
	return key, nil
}

// authenticate compares the digest of the caller's token in constant time.
func (h *Handler) authenticate(ctx *fasthttp.RequestCtx, row *table.Row) error {
	if tokenOpens(bearer(ctx), row) {
		return nil
	}
	h.credentialRefused(ctx, row.Name)
	return errs.New(errs.Unauthenticated, "send the row's token as Authorization: Bearer", "token for row %q was refused", row.Name)
}

// bearer returns the token of the header Authorization, or nothing for another scheme.
func bearer(ctx *fasthttp.RequestCtx) string {
	scheme, token, _ := strings.Cut(string(ctx.Request.Header.Peek("Authorization")), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return token
}

// tokenOpens reports whether the token belongs to the row. A row without a digest is closed.
func tokenOpens(token string, row *table.Row) bool {
	return pki.TokenMatches(token, row.TokenSHA256) && token != ""
}

// credentialRefused records a refused credential without the secret.
func (h *Handler) credentialRefused(ctx *fasthttp.RequestCtx, row api.RowName) {
	if h.opts.Events != nil {
		h.opts.Events.Record(events.Event{Name: events.CredentialRefused, Row: row, Detail: "from " + ctx.RemoteAddr().String()})
	}
}

// completion reads a request to an OpenAI endpoint.
func (h *Handler) completion(r *request, path string) error {
	if !r.http.IsPost() {
		return errs.New(errs.InvalidArgument, "use POST", "method %s is not allowed for %s", clip(string(r.http.Method())), path)
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
	if err := h.row(r, api.RowName(name), table.KindChat); err != nil {
		return err
	}
	r.work.Method, r.work.Path, r.work.ContentType, r.work.Body = fasthttp.MethodPost, path, "application/json", body
	if r.wantsStream() && gjson.GetBytes(body, "n").Int() > 1 {
		return errs.New(errs.InvalidArgument, "set n to 1 or stream to false", "streams have one choice")
	}
	return nil
}

func (r *request) wantsStream() bool {
	return r.row.Kind == table.KindChat && gjson.GetBytes(r.work.Body, "stream").Bool()
}

// service reads a request to a plain service.
func (h *Handler) service(r *request) error {
	name, path, err := splitService(string(r.http.RequestURI()))
	if err != nil {
		return err
	}
	if err := h.row(r, api.RowName(name), table.KindService); err != nil {
		return err
	}
	r.work.Method, r.work.Path = string(r.http.Method()), path
	r.work.ContentType = string(r.http.Request.Header.ContentType())
	r.work.Body = append([]byte(nil), r.http.PostBody()...)
	r.work.Header = forwarded(&r.http.Request.Header)
	return nil
}

// splitService splits /services/<row>/<path> of the raw request target. The path stays as it was sent.
func splitService(uri string) (row, path string, err error) {
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
	if err != nil || row == "" || !printable(path) || strings.ContainsRune(path, '#') {
		return "", "", errs.New(errs.InvalidArgument, "use /services/<row>/<path>", "request target is malformed")
	}
	return row, path, nil
}

// forwarded returns the headers that go to a plain service: not those of the connection, nor the service's own.
func forwarded(h *fasthttp.RequestHeader) []backend.Header {
	var out []backend.Header
	for k, v := range h.All() {
		if forwardable(string(k)) {
			out = append(out, backend.Header{Name: string(k), Value: string(v)})
		}
	}
	return out
}

func forwardable(name string) bool {
	switch strings.ToLower(name) {
	case "host", "authorization", "connection", "content-length", "content-type", "transfer-encoding", "keep-alive", "te", "trailer",
		"upgrade", "proxy-authorization", "proxy-connection", "expect", "idempotency-key":
		return false
	}
	return !strings.HasPrefix(strings.ToLower(name), "filbertledge-")
}
