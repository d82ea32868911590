// Package weightstore simulates a weight store with a rate limit on reads.
package weightstore

import (
	"bufio"
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"filbertledge/internal/api"
	"filbertledge/internal/standin"
)

// Options configures a store. The zero value of a field selects the stated default.
type Options struct {
	Listen         string // default 127.0.0.1:0
	BytesPerSecond int    // rate limit of all blob reads together; default 100 MiB
	BlobBytes      int    // blob size of a version that is published without a size; default 1 MiB
}

// Version is one entry of the response to GET /models/{model}/versions, without Model, and the body of POST
// /standin/v1/publish.
type Version struct {
	Model     string            `json:"model,omitempty"`
	Version   api.WeightVersion `json:"version"`
	SizeBytes int               `json:"size_bytes"`
}

// Read records one read of a blob, accepted or refused.
type Read struct {
	Model   string            `json:"model"`
	Version api.WeightVersion `json:"version"`
	At      time.Time         `json:"at"`
	Refused bool              `json:"refused"` // with status 429, because of the rate limit
}

// Store is a running simulated weight store.
type Store struct {
	opts    Options
	server  *standin.Server
	limiter *rate.Limiter

	mu       sync.Mutex
	versions map[string][]Version
	reads    []Read
}

// Start starts a store that has no versions.
func Start(opts Options) (*Store, error) {
	if opts.Listen == "" {
		opts.Listen = "127.0.0.1:0"
	}
	if opts.BytesPerSecond == 0 {
		opts.BytesPerSecond = 100 << 20
	}
	if opts.BlobBytes == 0 {
		opts.BlobBytes = 1 << 20
	}
	s := &Store{
		opts:     opts,
		limiter:  rate.NewLimiter(rate.Limit(opts.BytesPerSecond), opts.BytesPerSecond),
		versions: map[string][]Version{},
	}
	var err error
	s.server, err = standin.Serve(opts.Listen, s.route)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Address returns the IP:port of the store.
func (s *Store) Address() string { return s.server.Address() }

// Close stops the store and resets its connections.
func (s *Store) Close() { s.server.Abort() }

// Publish adds a version unless it exists. A size of zero selects Options.BlobBytes.
func (s *Store) Publish(v Version) {
	if v.SizeBytes == 0 {
		v.SizeBytes = s.opts.BlobBytes
	}
	model := v.Model
	v.Model = ""
	s.mu.Lock()
	defer s.mu.Unlock()
	known := func(o Version) bool { return o.Version == v.Version }
	if slices.ContainsFunc(s.versions[model], known) {
		return
	}
	s.versions[model] = append(s.versions[model], v)
}

// Reads returns all reads of blobs so far, in order.
func (s *Store) Reads() []Read {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Read{}, s.reads...)
}

func (s *Store) route(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	parts := strings.Split(strings.Trim(path, "/"), "/")
	switch {
	case path == "/limits":
		standin.ReplyJSON(ctx, http.StatusOK, struct {
			BytesPerSecond int `json:"bytes_per_second"`
		}{s.opts.BytesPerSecond})
	case path == "/standin/v1/publish" && ctx.IsPost():
		s.handlePublish(ctx)
	case path == "/standin/v1/log":
		standin.ReplyJSON(ctx, http.StatusOK, s.Reads())
	case len(parts) == 3 && parts[0] == "models" && parts[2] == "versions":
		standin.ReplyJSON(ctx, http.StatusOK, s.listVersions(parts[1]))
	case len(parts) == 5 && parts[0] == "models" && parts[4] == "blob":
		s.handleBlob(ctx, parts[1], parts[3])
	default:
		standin.ReplyError(ctx, http.StatusNotFound, "not_found", "the path is not known")
	}
}

func (s *Store) handlePublish(ctx *fasthttp.RequestCtx) {
	var v Version
	if err := json.Unmarshal(ctx.PostBody(), &v); err != nil || v.Model == "" || v.Version == 0 {
		standin.ReplyError(ctx, http.StatusBadRequest, "invalid_request_error", "the body needs a model and a version")
		return
	}
	s.Publish(v)
	standin.ReplyJSON(ctx, http.StatusOK, struct{}{})
}

func (s *Store) listVersions(model string) []Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Version{}, s.versions[model]...)
}

// handleBlob streams the blob of a version, or responds with status 429 if the rate limit does not allow the whole
// blob now.
func (s *Store) handleBlob(ctx *fasthttp.RequestCtx, model, version string) {
	n, err := strconv.ParseUint(version, 10, 64)
	list := s.listVersions(model)
	i := slices.IndexFunc(list, func(v Version) bool { return v.Version == api.WeightVersion(n) })
	if err != nil || i < 0 {
		standin.ReplyError(ctx, http.StatusNotFound, "not_found", "the version is not published")
		return
	}
	size := list[i].SizeBytes
	wait := s.reserve(size)
	s.recordRead(Read{Model: model, Version: list[i].Version, At: time.Now(), Refused: wait > 0})
	if wait > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		standin.ReplyError(ctx, http.StatusTooManyRequests, "rate_limited", "the rate of the weight store is used up")
		return
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { writeBlob(w, size) })
}

// reserve takes size bytes from the rate limiter. If they are not available it takes none and returns the time until
// they are. A blob larger than the limit for one second is charged with that limit.
func (s *Store) reserve(size int) time.Duration {
	r := s.limiter.ReserveN(time.Now(), min(size, s.opts.BytesPerSecond))
	wait := r.Delay()
	if wait > 0 {
		r.Cancel()
	}
	return wait
}

func (s *Store) recordRead(r Read) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads = append(s.reads, r)
}

const blobChunkBytes = 64 << 10

func writeBlob(w *bufio.Writer, size int) {
	chunk := make([]byte, blobChunkBytes)
	for size > 0 {
		n := min(size, len(chunk))
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		size -= n
	}
}
