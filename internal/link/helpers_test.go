package link

import (
	"bufio"
	"bytes"
)

func bufioReader(data []byte) *bufio.Reader { return bufio.NewReader(bytes.NewReader(data)) }
