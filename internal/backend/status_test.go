package backend

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/api"
)

// invalidHeads are what comes before the headers of a response that is no answer.
var invalidHeads = map[string]string{
	"status 000":               "HTTP/1.1 000 X\r\n",
	"status 001":               "HTTP/1.1 001 X\r\n",
	"status 099":               "HTTP/1.1 099 X\r\n",
	"status 600":               "HTTP/1.1 600 X\r\n",
	"status 999":               "HTTP/1.1 999 X\r\n",
	"two digits":               "HTTP/1.1 20 X\r\n",
	"four digits":              "HTTP/1.1 2000 X\r\n",
	"sign":                     "HTTP/1.1 +20 X\r\n",
	"negative":                 "HTTP/1.1 -20 X\r\n",
	"hexadecimal":              "HTTP/1.1 0xc X\r\n",
	"two spaces":               "HTTP/1.1  200 X\r\n",
	"no status":                "HTTP/1.1\r\n",
	"other protocol":           "HTTP/2.0 200 X\r\n",
	"no protocol":              "200 OK\r\n",
	"empty line before":        "\r\nHTTP/1.1 200 X\r\n",
	"switched protocol":        "HTTP/1.1 101 X\r\n\r\nHTTP/1.1 200 X\r\n",
	"interim head with a body": "HTTP/1.1 150 X\r\nContent-Length: 4\r\n\r\nnameHTTP/1.1 200 X\r\n",
	"interim body as a head":   "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 X\r\n",
	"status 000 before a head": "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 X\r\n",
	"status 099 before a head": "HTTP/1.1 099 X\r\n\r\nHTTP/1.1 200 X\r\n",
}

var validHeads = map[string]string{
	"ordinary":            "HTTP/1.1 200 OK\r\n",
	"HTTP/1.0":            "HTTP/1.0 200 OK\r\n",
	"no reason":           "HTTP/1.1 200\r\n",
	"empty reason":        "HTTP/1.1 200 \r\n",
	"line feed only":      "HTTP/1.1 200 OK\n",
	"long reason":         "HTTP/1.1 200 " + strings.Repeat("x", 2000) + "\r\n",
	"highest status":      "HTTP/1.1 599 X\r\n",
	"after interim heads": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n",
}

// Guards against a response without a valid status that is taken for an answer, as status 000 was for a 200, and against bytes of
// an interim response that are read as the next response's head.
func TestResponseWithoutStatusIsNoAnswer(t *testing.T) { checkHeads(t, invalidHeads, validHeads) }

// checkHeads checks which responses count as answers whose head begins with the given bytes, at all calls that read responses.
func checkHeads(t *testing.T, invalid, valid map[string]string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	rest := fmt.Sprintf("%s: a\r\nContent-Length: 4\r\n\r\nbody", api.HeaderAttemptID)
	calls := map[string]func(address string) (string, error){
		"open": func(address string) (string, error) {
			ex, err := New(Options{}).Open(ctx, RawRequest{Address: address, Method: "GET", URI: "/", Host: "h", AttemptID: "a"})
			if err != nil {
				return "", err
			}
			defer ex.Release(false, 0)
			body, err := ex.ReadAll(MaxBodyBytes)
			return string(body), err
		},
		"do": func(address string) (string, error) {
			response, err := New(Options{}).Do(ctx, Request{Address: address, Method: "GET", Path: "/", AttemptID: "a"})
			return string(response.Body), err
		},
		"checked dial": func(address string) (string, error) {
			_, body, err := (&fasthttp.Client{Dial: Dial, MaxIdemponentCallAttempts: 1}).GetTimeout(nil, "http://"+address+"/", 5*time.Second)
			return string(body), err
		},
	}
	for call, send := range calls {
		for name, head := range invalid {
			if body, err := send(serveOnce(t, head+rest)); err == nil {
				t.Errorf("%s, %s: answered with %q", call, name, body)
			}
		}
		for name, head := range valid {
			if call == "checked dial" && name == "after interim heads" {
				continue // it accepts final responses only
			}
			if body, err := send(serveOnce(t, head+rest)); err != nil || body != "body" {
				t.Errorf("%s, %s: got %q, %v", call, name, body, err)
			}
		}
	}
	for name, head := range invalid {
		if s, err := New(Options{}).Stream(ctx, Request{Address: serveOnce(t, head+rest), Method: "POST", Path: "/", AttemptID: "a"}, 0); err == nil {
			if _, err := s.Next(); err == nil {
				t.Errorf("stream, %s: an event was read", name)
			}
			s.Close()
		}
	}
}
