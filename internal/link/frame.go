// Package link implements calls and one-way messages between the processes of a deployment over TCP. All calls to
// the same address share one connection.
//
// A call whose request was never written certainly did not run; any other call that ended without a response may
// have run. The kind of the error distinguishes the two cases: errs.Unavailable and errs.OutcomeUnknown.
package link

import (
	"bufio"
	"encoding/binary"
	"io"
	"time"

	"filbertledge/internal/errs"
)

// MaxFrameBytes is the maximum size of a frame's payload. The largest message is an accepted batch with the request
// bodies of its items.
const MaxFrameBytes = 64 << 20

// knownFrameBytes is the size above which a server reads only frames for methods that it has.
const knownFrameBytes = 64 << 10

// Kinds of frames. The values are part of the wire format.
const (
	frameRequest byte = iota + 1
	frameResponse
	frameFailure
	frameOneWay
	framePing
	framePong
)

// Layout of the frame header: payload length, kind, call ID and timeout in milliseconds. The payload follows: the
// length of the method name in one byte, the method name and the body.
const (
	kindOffset       = 4
	callIDOffset     = kindOffset + 1
	timeoutOffset    = callIDOffset + 8
	frameHeaderBytes = timeoutOffset + 4
)

// maxTimeoutMS bounds the timeout in the header, which has 32 bits. It corresponds to about 25 days.
const maxTimeoutMS = 1 << 31

// frame is one message on a connection.
type frame struct {
	kind    byte
	callID  uint64        // matches a response to its request
	timeout time.Duration // requests only: time left until the caller's deadline; 0 means no deadline
	method  string        // requests and one-way messages only
	body    []byte
	// done, if not nil, is called once the frame has been written, or will not be.
	done func()
}

func writeFrame(w *bufio.Writer, f frame) error {
	var header [frameHeaderBytes + 1]byte
	size := 1 + len(f.method) + len(f.body)
	binary.BigEndian.PutUint32(header[0:], uint32(size))
	header[kindOffset] = f.kind
	binary.BigEndian.PutUint64(header[callIDOffset:], f.callID)
	binary.BigEndian.PutUint32(header[timeoutOffset:], uint32(min(f.timeout.Milliseconds(), maxTimeoutMS)))
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

// readFrame reads the next frame. If knows is not nil, a request or message above knownFrameBytes is accepted only if knows reports
// its method as known: whoever can connect could otherwise make the process allocate the largest frame.
func readFrame(r *bufio.Reader, knows func(method string) bool) (frame, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return frame{}, err
	}
	size := binary.BigEndian.Uint32(header[0:])
	if size == 0 || size > MaxFrameBytes {
		return frame{}, errs.New(errs.InvalidArgument, "use the same version of filbertledge on both sides", "invalid frame size of %d bytes", size)
	}
	if kind := header[kindOffset]; knows != nil && size > knownFrameBytes {
		method, err := peekMethod(r)
		if err != nil {
			return frame{}, err
		}
		if (kind != frameRequest && kind != frameOneWay) || !knows(method) {
			return frame{}, errs.New(errs.InvalidArgument, "use the same version of filbertledge on both sides", "unexpected frame of %d bytes for method %q", size, method)
		}
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(r, payload); err != nil {
		return frame{}, err
	}
	methodBytes := int(payload[0])
	if methodBytes+1 > len(payload) {
		return frame{}, errs.New(errs.InvalidArgument, "use the same version of filbertledge on both sides", "frame ends within the method name")
	}
	return frame{
		kind:    header[kindOffset],
		callID:  binary.BigEndian.Uint64(header[callIDOffset:]),
		timeout: time.Duration(binary.BigEndian.Uint32(header[timeoutOffset:])) * time.Millisecond,
		method:  string(payload[1 : 1+methodBytes]),
		body:    payload[1+methodBytes:],
	}, nil
}

// peekMethod returns the method of the payload that follows, which stays unread.
func peekMethod(r *bufio.Reader) (string, error) {
	length, err := r.Peek(1)
	if err != nil {
		return "", err
	}
	name, err := r.Peek(1 + int(length[0]))
	if err != nil {
		return "", err
	}
	return string(name[1:]), nil
}
