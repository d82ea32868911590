package link

import (
	"bufio"
	"bytes"
)

func newReader(data []byte) *bufio.Reader { return bufio.NewReader(bytes.NewReader(data)) }
