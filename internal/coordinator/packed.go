package coordinator

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"filbertledge/internal/errs"
	"filbertledge/internal/routes"
)

// maxUnpackedBytes bounds a configuration that is unpacked. The operators' documents are at most 32 MiB.
const maxUnpackedBytes = 64 << 20

// PackConfiguration encodes a configuration without its document, compressed. Every VM gets each version of the
// configuration at the same time: with 1,500 routes and 270 VMs, separate and uncompressed replies with the document took
// more than the 294 MB that a leader may use.
func PackConfiguration(c *routes.Configuration) ([]byte, error) {
	data, err := cbor.Marshal(&routes.Configuration{Version: c.Version, Routes: c.Routes, Services: c.Services})
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "report this fault", "cannot encode configuration %d", c.Version)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "report this fault", "cannot compress configuration %d", c.Version)
	}
	if _, err := w.Write(data); err != nil {
		return nil, errs.Wrap(err, errs.Internal, "report this fault", "cannot compress configuration %d", c.Version)
	}
	if err := w.Close(); err != nil {
		return nil, errs.Wrap(err, errs.Internal, "report this fault", "cannot compress configuration %d", c.Version)
	}
	return out.Bytes(), nil
}

// UnpackConfiguration decodes the output of PackConfiguration.
func UnpackConfiguration(packed []byte) (*routes.Configuration, error) {
	const remedy = "use the same version of filbertledge on all VMs"
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes+1))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, remedy, "cannot decompress a configuration of %d bytes", len(packed))
	}
	if len(data) > maxUnpackedBytes {
		return nil, errs.New(errs.Internal, remedy, "configuration exceeds %d bytes", maxUnpackedBytes)
	}
	c := &routes.Configuration{}
	if err := cbor.Unmarshal(data, c); err != nil {
		return nil, errs.Wrap(err, errs.Internal, remedy, "cannot decode a configuration of %d bytes", len(data))
	}
	return c, nil
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
		return &routes.Configuration{Version: c.Version, Routes: c.Routes, Services: c.Services}, nil, nil
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
