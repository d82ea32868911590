// Package link carries calls and one-way messages between the processes of a deployment over TCP. All calls to
// one address share one connection.
//
// A call whose request was never written certainly did not run; any other failed call may have run. The two cases
// are told apart by the kind of the error: errs.Unavailable against errs.OutcomeUnknown.
package link

import (
	"bufio"
	"encoding/binary"
	"io"
	"time"

	"filbertledge/internal/errs"
)

// MaxFrameBytes bounds one message. The largest is an accepted batch with its bodies.
const MaxFrameBytes = 64 << 20

// Kinds of frames.
const (
	frameRequest byte = iota + 1
	frameResponse
	frameFailure
	frameOneWay
	framePing
	framePong
)

// frameHeaderBytes is the length, the kind, the number of the call and its time limit in ms.
const frameHeaderBytes = 4 + 1 + 8 + 4

// frame is one message on a connection.
type frame struct {
	kind    byte
	call    uint64
	timeout time.Duration // of a request: the caller's remaining time
	method  string        // of a request or a one-way message
	body    []byte
}

func writeFrame(w *bufio.Writer, f frame) error {
	var header [frameHeaderBytes + 1]byte
	size := 1 + len(f.method) + len(f.body)
	binary.BigEndian.PutUint32(header[0:], uint32(size))
	header[4] = f.kind
	binary.BigEndian.PutUint64(header[5:], f.call)
	binary.BigEndian.PutUint32(header[13:], uint32(min(f.timeout.Milliseconds(), 1<<31)))
	header[frameHeaderBytes] = byte(len(f.method))
	if _, err := w.Write(header[:]); err != nil {
		return err
	}
	if _, err := w.WriteString(f.method); err != nil {
		return err
	}
	_, err := w.Write(f.body)
	return err
}

func readFrame(r *bufio.Reader) (frame, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return frame{}, err
	}
	size := binary.BigEndian.Uint32(header[0:])
	if size == 0 || size > MaxFrameBytes {
		return frame{}, errs.New(errs.InvalidArgument, "use the same version of filbertledge on both sides", "frame of %d bytes", size)
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(r, payload); err != nil {
		return frame{}, err
	}
	method := int(payload[0])
	if method+1 > len(payload) {
		return frame{}, errs.New(errs.InvalidArgument, "use the same version of filbertledge on both sides", "frame ends within its method")
	}
	return frame{
		kind:    header[4],
		call:    binary.BigEndian.Uint64(header[5:]),
		timeout: time.Duration(binary.BigEndian.Uint32(header[13:])) * time.Millisecond,
		method:  string(payload[1 : 1+method]),
		body:    payload[1+method:],
	}, nil
}
