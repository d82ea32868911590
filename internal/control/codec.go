package control

import (
	"github.com/fxamacker/cbor/v2"

	"filbertledge/internal/errs"
)

// Limits of decoded messages. The largest message is a list of the 65,536 samples of a step.
const (
	maxArrayElements   = 1 << 17
	maxMapPairs        = 1 << 10
	maxNestedLevels    = 16
	maxSnapshotEntries = 1 << 22
	// MaxCommandBytes is the maximum size of an encoded command; a transport message holds at most 8 MiB.
	MaxCommandBytes = 6 << 20
)

var (
	encoder         = mustEncoder()
	decoder         = mustDecoder(maxArrayElements)
	snapshotDecoder = mustDecoder(maxSnapshotEntries)
)

// mustEncoder returns a deterministic encoder, so that equal states have byte-identical snapshots on all replicas.
func mustEncoder() cbor.EncMode {
	o := cbor.CoreDetEncOptions()
	o.Time = cbor.TimeRFC3339NanoUTC
	m, err := o.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecoder(elements int) cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: elements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevels,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the CBOR encoding of a message of this package.
func Encode(v any) ([]byte, error) {
	data, err := encoder.Marshal(v)
	return data, errs.Wrap(err, errs.Internal, "report this fault", "encoding %T", v)
}

// Decode decodes a message of this package and enforces the size limits. Its errors are of kind errs.InvalidArgument.
func Decode(data []byte, v any) error {
	return errs.Wrap(decoder.Unmarshal(data, v), errs.InvalidArgument, "check that all VMs run compatible versions", "decoding %T", v)
}

// EncodeCommand encodes a command for the replicated log. The error is of kind errs.PayloadTooLarge if the encoded
// command exceeds MaxCommandBytes.
func EncodeCommand(c Command) ([]byte, error) {
	data, err := Encode(c)
	if err == nil && len(data) > MaxCommandBytes {
		return nil, errs.New(errs.PayloadTooLarge, "split the command", "the command has %d bytes; at most %d are allowed", len(data), MaxCommandBytes)
	}
	return data, err
}

// DecodeResult decodes the result that StateMachine.Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	err := Decode(data, &r)
	return r, err
}

// Err returns the error in the result of the state machine, or nil on success.
func (r Result) Err() error {
	if r.ErrorKind == "" {
		return nil
	}
	return errs.New(errs.Kind(r.ErrorKind), r.Remedy, "%s", r.Error)
}
