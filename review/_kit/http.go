package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
)

// exchange writes one request on a connection and reads its answer.
func exchange(nc net.Conn, method, path string, header map[string]string, body []byte, chunked bool) answer {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, hostName)
	names := make([]string, 0, len(header))
	for k := range header {
		names = append(names, k)
	}
	sort.Strings(names)
	for _, k := range names {
		fmt.Fprintf(&b, "%s: %s\r\n", k, header[k])
	}
	switch {
	case chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		half := len(body) / 2
		for _, part := range [][]byte{body[:half], body[half:]} {
			if len(part) > 0 {
				fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
			}
		}
		b.WriteString("0\r\n\r\n")
	case body != nil:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
		b.Write(body)
	default:
		b.WriteString("\r\n")
	}
	if _, err := nc.Write(b.Bytes()); err != nil {
		return answer{err: err}
	}
	r, err := http.ReadResponse(bufio.NewReader(nc), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	return answer{status: r.StatusCode, header: r.Header, body: data, err: err}
}
