package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"filbertledge/internal/api"
)

const statusOK = "HTTP/1.1 200 OK\r\n"

// Guards against a response that is taken for an answer though its header has a field with a blank or a control byte in the name.
func TestResponseWithInvalidFieldIsNoAnswer(t *testing.T) {
	checkHeads(t, map[string]string{
		"blank within the name":         statusOK + "X A: b\r\n",
		"blank before the colon":        statusOK + "X-A : b\r\n",
		"tab before the colon":          statusOK + "X-A\t: b\r\n",
		"blank before the first name":   statusOK + " X-A: b\r\n",
		"continuation":                  statusOK + "X-A: b\r\n c\r\n",
		"continuation that looks empty": statusOK + "X-A: b\r\n \r\n",
		"control byte in the name":      statusOK + "X\x1fA: b\r\n",
		"zero byte in the name":         statusOK + "X\x00A: b\r\n",
		"carriage return in the name":   statusOK + "X\rA: b\r\n",
		"name beyond ASCII":             statusOK + "X\u00e9: b\r\n",
		"separator in the name":         statusOK + "X(A): b\r\n",
		"no name":                       statusOK + ": b\r\n",
		"no colon":                      statusOK + "X-A\r\n",
		"control byte in the value":     statusOK + "X-A: b\x1f\r\n",
		"carriage return in the value":  statusOK + "X-A: b\rContent-Length: 2\r\n",
		"shorter length, blank":         statusOK + "Content-Length : 2\r\nX-A: b\r\n",
		"chunks, blank":                 statusOK + "Transfer-Encoding : chunked\r\n",
		"in an interim head":            "HTTP/1.1 103 X\r\nX A: b\r\n\r\n" + statusOK,
		"line feeds only":               "HTTP/1.1 200 OK\nX A: b\n",
	}, map[string]string{
		"ordinary":             statusOK + "X-A: b\r\n",
		"no blank":             statusOK + "X-A:b\r\n",
		"blanks in the value":  statusOK + "X-A: \t b\tc \r\n",
		"empty value":          statusOK + "X-A:\r\n",
		"value beyond ASCII":   statusOK + "X-A: \xe9\xff\r\n",
		"colons in the value":  statusOK + "X-A: b: c\r\n",
		"all token characters": statusOK + "X!#$%&'*+-.^_`|~09azAZ: b\r\n",
		"line feed only":       "HTTP/1.1 200 OK\nX-A: b\n",
		"long value":           statusOK + "X-A: " + strings.Repeat("b", 3000) + "\r\n",
		"many fields":          statusOK + strings.Repeat("X-A: b\r\n", 200),
	})
}

// Guards against a response that is taken for an answer though its version of HTTP has no chunks and its body is sent in some.
func TestChunksOfOtherVersionsAreNoAnswer(t *testing.T) {
	checkHeads(t, map[string]string{
		"HTTP/1.0":         "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
		"HTTP/1.2":         "HTTP/1.2 200 OK\r\ntransfer-encoding:chunked\r\n",
		"other encoding":   "HTTP/1.0 200 OK\r\nTransfer-Encoding: gzip\r\n",
		"in the last line": "HTTP/1.0 200 OK\r\nX-A: b\r\nTRANSFER-ENCODING: chunked\r\n",
	}, map[string]string{
		"HTTP/1.0 with a length": "HTTP/1.0 200 OK\r\nX-Transfer-Encoding: chunked\r\n",
	})
}

// Guards against bytes that follow a response and are taken for the next one on its connection.
func TestBytesBehindResponseAreDropped(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		br := bufio.NewReader(nc)
		for i := 0; ; i++ {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			fmt.Fprintf(nc, "%sContent-Length: 1\r\n\r\n%d%sContent-Length: 5\r\n\r\nextra", statusOK, i, statusOK)
		}
	}()
	// The library's buffer holds one response and a part of what follows it.
	client := &fasthttp.Client{Dial: Dial, MaxIdemponentCallAttempts: 1, ReadBufferSize: 64}
	for i := range 3 {
		if _, body, err := client.GetTimeout(nil, "http://"+ln.Addr().String()+"/", 5*time.Second); err != nil || string(body) != fmt.Sprint(i) {
			t.Errorf("request %d: got %q, %v", i, body, err)
		}
	}
}

// Guards against a field that the HTTP library reads from a head in another way than the check, wherever the head is cut on its way.
func TestHeadIsReadAsChecked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.StringOfN(rapid.SampledFrom([]rune("XA-:, \t\r\n\x00\x1fé")), 0, 12, -1), 0, 4).Draw(t, "lines")
		head := statusOK + strings.Join(append(lines, fmt.Sprintf("%s: a", api.HeaderAttemptID), "Content-Length: 4"), "\r\n") + "\r\n\r\n"
		cut := rapid.IntRange(0, len(head)).Draw(t, "cut")
		server, client := net.Pipe()
		defer client.Close()
		go func() {
			defer server.Close()
			_, _ = io.WriteString(server, head[:cut]) // fails once the client has left
			_, _ = io.WriteString(server, head[cut:]+"body")
		}()
		ex := &exchange{client: New(Options{}), ctx: context.Background(), conn: newConn(client, poolKey{}), method: fasthttp.MethodGet}
		client.SetDeadline(time.Now().Add(5 * time.Second))
		if ex.readHeader() != nil {
			return
		}
		lines = strings.Split(strings.ReplaceAll(head[len(statusOK):], "\r\n", "\n"), "\n")
		fields := lines[:slices.Index(lines, "")]
		read := 0
		for name := range ex.header.All() {
			if string(name) != "Content-Type" && string(name) != "Connection" { // which the library sets itself
				read++
			}
		}
		if read != len(fields) {
			t.Fatalf("%d fields in %q, read as %q", len(fields), head, ex.header.String())
		}
		for _, field := range fields {
			name, value, _ := strings.Cut(field, ":")
			if value = strings.Trim(value, " \t"); !slices.ContainsFunc(ex.header.PeekAll(name), func(v []byte) bool { return string(v) == value }) {
				t.Fatalf("%q is not among the fields of %q", field, ex.header.String())
			}
		}
	})
}
