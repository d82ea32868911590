package control

import (
	"github.com/fxamacker/cbor/v2"

	"filbertledge/internal/errs"
)

// Limits of decoded messages. The largest message is a list of 65,536 samples of a step.
const (
	maxArrayElements   = 1 << 17
	maxMapPairs        = 1 << 10
	maxNestedLevels    = 16
	maxSnapshotEntries = 1 << 22
	// MaxCommandBytes bounds one encoded command; a transport message holds 8 MiB.
	MaxCommandBytes = 6 << 20
)

var (
	encoder         = mustEncoder()
	decoder         = mustDecoder(maxArrayElements)
	snapshotDecoder = mustDecoder(maxSnapshotEntries)
)

// mustEncoder uses the deterministic encoding, so that equal states have equal snapshots on all replicas.
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

// Decode parses a message of this package within the limits. The error is of kind errs.InvalidArgument.
func Decode(data []byte, v any) error {
	return errs.Wrap(decoder.Unmarshal(data, v), errs.InvalidArgument, "check that all VMs run compatible versions", "decoding %T", v)
}

// EncodeCommand encodes one command for the replicated log. The error is of kind errs.PayloadTooLarge if the
// command has more than MaxCommandBytes.
func EncodeCommand(c Command) ([]byte, error) {
	data, err := Encode(c)
	if err == nil && len(data) > MaxCommandBytes {
		return nil, errs.New(errs.PayloadTooLarge, "split the command", "the command has %d bytes; at most %d are allowed", len(data), MaxCommandBytes)
	}
	return data, err
}

// DecodeResult parses what Machine.Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	err := Decode(data, &r)
	return r, err
}

// Err returns the error that the state machine answered, or nil.
func (r Result) Err() error {
	if r.ErrorKind == "" {
		return nil
	}
	return errs.New(errs.Kind(r.ErrorKind), r.Remedy, "%s", r.Error)
}
