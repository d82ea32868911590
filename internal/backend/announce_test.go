package backend

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/api"
	"filbertledge/internal/pki"
)

type fakeRegistry struct{ announced int }

func (r *fakeRegistry) Announce(api.Announcement) bool { r.announced++; return true }

func (r *fakeRegistry) Addresses(api.FailureDomain, int) []string { return []string{"127.0.0.1:1"} }

// Guards against comparing a pool's token with its digest, which refused every backend server, and against
// admitting servers of a pool that the settings do not name.
func TestAnnounceChecksTokenAgainstDigest(t *testing.T) {
	const token = "pool-token"
	registry := &fakeRegistry{}
	handle := AnnounceHandler(AnnounceOptions{
		Registry: registry, TokenDigests: map[api.Pool]string{"drafter-llm": pki.HashToken(token), "open": ""},
	})
	for _, c := range []struct {
		name   string
		pool   api.Pool
		auth   string
		status int
	}{
		{"right token", "drafter-llm", "Bearer " + token, http.StatusOK},
		{"digest as token", "drafter-llm", "Bearer " + pki.HashToken(token), http.StatusUnauthorized},
		{"no bearer scheme", "drafter-llm", token, http.StatusUnauthorized},
		{"unknown pool", "booking-api", "Bearer " + token, http.StatusUnauthorized},
		{"pool without digest", "open", "Bearer ", http.StatusUnauthorized},
	} {
		t.Run(c.name, func(t *testing.T) {
			body, err := json.Marshal(api.Announcement{
				ID: "s1", Incarnation: 1, Sequence: 1, Address: "127.0.0.1:80", Pool: c.pool, Capacity: 1, State: api.ServerServing,
			})
			if err != nil {
				t.Fatal(err)
			}
			var ctx fasthttp.RequestCtx
			ctx.Request.Header.SetMethod(http.MethodPost)
			ctx.Request.SetRequestURI(AnnouncePath)
			ctx.Request.Header.Set("Authorization", c.auth)
			ctx.Request.SetBody(body)
			if !handle(&ctx) || ctx.Response.StatusCode() != c.status {
				t.Fatalf("status %d, want %d: %s", ctx.Response.StatusCode(), c.status, ctx.Response.Body())
			}
		})
	}
	if registry.announced != 1 {
		t.Errorf("%d announcements accepted, want 1", registry.announced)
	}
}
