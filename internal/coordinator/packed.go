package coordinator

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"filbertledge/internal/errs"
	"filbertledge/internal/fleet"
	"filbertledge/internal/routes"
)

// maxUnpackedBytes bounds a configuration that is unpacked. The operators' documents are at most 32 MiB.
const maxUnpackedBytes = 64 << 20

// PackConfiguration encodes a configuration without its document, compressed. Every VM gets each version of the
// configuration at the same time: with 1,500 routes and 270 VMs, separate and uncompressed replies with the document took
// more than the 294 MB that a leader may use.
func PackConfiguration(c *routes.Configuration) ([]byte, error) {
	return pack(c.WithoutDocument())
}

// UnpackConfiguration decodes the output of PackConfiguration.
func UnpackConfiguration(packed []byte) (*routes.Configuration, error) {
	c := &routes.Configuration{}
	return c, unpack(packed, c)
}

func packServers(servers []fleet.Server) ([]byte, error) { return pack(servers) }

func unpackServers(packed []byte) (servers []fleet.Server, err error) {
	err = unpack(packed, &servers)
	return servers, err
}

// packedDecoder accepts text that is not UTF-8: one odd server in the list of an older build's leader must not keep this VM
// from the others.
var packedDecoder = mustDecMode(cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid})

func mustDecMode(o cbor.DecOptions) cbor.DecMode {
	mode, err := o.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// pack encodes and compresses a value.
func pack(value any) ([]byte, error) {
	const remedy = "report this fault"
	data, err := cbor.Marshal(value)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, remedy, "cannot encode a %T", value)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(data)
	}
	if err == nil {
		err = w.Close()
	}
	return out.Bytes(), errs.Wrap(err, errs.Internal, remedy, "cannot compress a %T of %d bytes", value, len(data))
}

// unpack decodes the output of pack.
func unpack(packed []byte, value any) error {
	const remedy = "use the same version of filbertledge on all VMs"
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes+1))
	if err != nil {
		return errs.Wrap(err, errs.Internal, remedy, "cannot decompress %d bytes", len(packed))
	}
	if len(data) > maxUnpackedBytes {
		return errs.New(errs.Internal, remedy, "a message of %d compressed bytes exceeds %d bytes", len(packed), maxUnpackedBytes)
	}
	return errs.Wrap(packedDecoder.Unmarshal(data, value), errs.Internal, remedy, "cannot decode %d bytes", len(data))
}

// packedConfiguration keeps the packed form of the newest configuration, so that it is made once for all VMs.
type packedConfiguration struct {
	mu            sync.Mutex
	configuration *routes.Configuration
	packed        []byte
}

// forReply returns what a reply to another VM contains: the packed configuration or, for a VM of a build that does not
// read it, the configuration without its document.
func (p *packedConfiguration) forReply(c *routes.Configuration, acceptsPacked bool) (*routes.Configuration, []byte, error) {
	if !acceptsPacked {
		return c.WithoutDocument(), nil, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.configuration != c {
		packed, err := PackConfiguration(c)
		if err != nil {
			return nil, nil, err
		}
		p.configuration, p.packed = c, packed
	}
	return nil, p.packed, nil
}
