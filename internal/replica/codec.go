package replica

import (
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"filbertledge/internal/raft"
)

const (
	// fragmentBytes keeps each message far below the transport's limit of 8 MiB; larger ones, which are
	// snapshots, are cut.
	fragmentBytes = 1 << 20
	// maxFragments bounds the memory that one sender's snapshot can take to 256 MiB.
	maxFragments = 256
	// maxWireElements bounds arrays in a message; a batch of entries has fewer.
	maxWireElements = 1 << 17
)

// frame is one message on the wire: a whole raft message or a fragment of one.
type frame struct {
	From     uint64        `cbor:"1,keyasint"`
	Address  string        `cbor:"2,keyasint,omitempty"` // of the sender, which the receiver may not know yet
	Message  *raft.Message `cbor:"3,keyasint,omitempty"`
	Fragment *fragment     `cbor:"4,keyasint,omitempty"`
}

// fragment is part Part of Parts of the encoded frame with number Number of its sender.
type fragment struct {
	Number uint64 `cbor:"1,keyasint"`
	Part   int    `cbor:"2,keyasint"`
	Parts  int    `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint"`
}

var decoding = mustDecMode(cbor.DecOptions{
	DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	IndefLength:      cbor.IndefLengthForbidden,
	TagsMd:           cbor.TagsForbidden,
	MaxArrayElements: maxWireElements,
})

func mustDecMode(o cbor.DecOptions) cbor.DecMode {
	mode, err := o.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encoder encodes messages of one replica.
type encoder struct {
	self   raft.Member
	number atomic.Uint64
}

// encode returns the frames that carry m.
func (e *encoder) encode(m raft.Message) ([][]byte, error) {
	whole, err := cbor.Marshal(frame{From: e.self.ID, Address: e.self.Address, Message: &m})
	if err != nil || len(whole) <= fragmentBytes {
		return [][]byte{whole}, err
	}
	number := e.number.Add(1)
	parts := (len(whole) + fragmentBytes - 1) / fragmentBytes
	frames := make([][]byte, 0, parts)
	for part := range parts {
		data := whole[part*fragmentBytes : min(len(whole), (part+1)*fragmentBytes)]
		f := frame{From: e.self.ID, Fragment: &fragment{Number: number, Part: part, Parts: parts, Data: data}}
		encoded, err := cbor.Marshal(f)
		if err != nil {
			return nil, err
		}
		frames = append(frames, encoded)
	}
	return frames, nil
}

// assembly is the newest cut message of one sender.
type assembly struct {
	number  uint64
	parts   [][]byte
	missing int
}

// decoder decodes messages and joins fragments.
type decoder struct {
	assemblies map[uint64]*assembly
}

// decode returns the message in data, or false if data is invalid or completes no message.
func (d *decoder) decode(data []byte) (frame, bool) {
	var f frame
	if err := decoding.Unmarshal(data, &f); err != nil {
		return frame{}, false
	}
	if f.Fragment != nil {
		whole, ok := d.join(f.From, *f.Fragment)
		if !ok {
			return frame{}, false
		}
		f = frame{}
		if err := decoding.Unmarshal(whole, &f); err != nil {
			return frame{}, false
		}
	}
	return f, f.Message != nil && f.Message.From == f.From
}

// join keeps fragment p and returns the whole message once no part is missing. A fragment of a newer message
// discards the parts of the older one.
func (d *decoder) join(from uint64, p fragment) ([]byte, bool) {
	if p.Parts < 1 || p.Parts > maxFragments || p.Part < 0 || p.Part >= p.Parts {
		return nil, false
	}
	a := d.assemblies[from]
	if a == nil || a.number != p.Number || len(a.parts) != p.Parts {
		a = &assembly{number: p.Number, parts: make([][]byte, p.Parts), missing: p.Parts}
		d.assemblies[from] = a
	}
	if a.parts[p.Part] == nil {
		a.parts[p.Part] = p.Data
		a.missing--
	}
	if a.missing > 0 {
		return nil, false
	}
	delete(d.assemblies, from)
	var whole []byte
	for _, part := range a.parts {
		whole = append(whole, part...)
	}
	return whole, true
}
