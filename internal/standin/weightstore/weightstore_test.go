package weightstore

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against a store that does not enforce its rate limit over all readers: the second read of a blob within a
// second exceeds the limit and must be refused with a Retry-After header.
func TestVersionsAndBlobRateLimit(t *testing.T) {
	s, err := Start(Options{BytesPerSecond: 1000, BlobBytes: 900})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	base := "http://" + s.Address()
	resp, err := http.Post(base+"/standin/v1/publish", "application/json", strings.NewReader(`{"model":"m","version":3}`))
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("publish: %v %v", resp, err)
	}
	resp.Body.Close()
	var versions []Version
	checkGet(t, base+"/models/m/versions", http.StatusOK, func(b []byte, _ http.Header) {
		if err := json.Unmarshal(b, &versions); err != nil || len(versions) != 1 || versions[0] != (Version{Version: 3, SizeBytes: 900}) {
			t.Errorf("versions %s: %v", b, err)
		}
	})
	blob := base + "/models/m/versions/3/blob"
	checkGet(t, blob, http.StatusOK, func(b []byte, _ http.Header) {
		if len(b) != 900 {
			t.Errorf("blob of %d bytes, want 900", len(b))
		}
	})
	checkGet(t, blob, http.StatusTooManyRequests, func(_ []byte, h http.Header) {
		if h.Get("Retry-After") != "1" {
			t.Errorf("Retry-After %q, want 1", h.Get("Retry-After"))
		}
	})
	checkGet(t, base+"/models/m/versions/4/blob", http.StatusNotFound, func([]byte, http.Header) {})
}

func checkGet(t *testing.T, url string, status int, check func([]byte, http.Header)) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != status {
		t.Errorf("GET %s: %s, want %d: %v", url, resp.Status, status, err)
		return
	}
	check(b, resp.Header)
}
