package replica

import (
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"filbertledge/internal/raft"
)

const (
	// fragmentBytes is the maximum size of a fragment, far below the transport's message limit of 8 MiB. Larger
	// messages, which are snapshots, are split into fragments.
	fragmentBytes = 1 << 20
	// maxFragments limits the memory for one sender's snapshot to 256 MiB.
	maxFragments = 256
	// maxWireElements limits the length of arrays in a received message. A batch of entries has fewer elements.
	maxWireElements = 1 << 17
)

// frame is the unit that is sent over the network: a whole raft message or a fragment of an encoded frame.
type frame struct {
	From     uint64        `cbor:"1,keyasint"`
	Address  string        `cbor:"2,keyasint,omitempty"` // of the sender; the receiver may not know it yet
	Message  *raft.Message `cbor:"3,keyasint,omitempty"`
	Fragment *fragment     `cbor:"4,keyasint,omitempty"`
}

// fragment is one of Parts pieces of an encoded frame. Number identifies the frame among those of its sender; Part
// counts the pieces from 0.
type fragment struct {
	Number uint64 `cbor:"1,keyasint"`
	Part   int    `cbor:"2,keyasint"`
	Parts  int    `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint"`
}

var decMode = mustDecMode(cbor.DecOptions{
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

// encoder encodes the messages that one replica sends.
type encoder struct {
	self       raft.Member
	lastNumber atomic.Uint64
}

// encode returns the encoded frames for m.
func (e *encoder) encode(m raft.Message) ([][]byte, error) {
	whole, err := cbor.Marshal(frame{From: e.self.ID, Address: e.self.Address, Message: &m})
	if err != nil || len(whole) <= fragmentBytes {
		return [][]byte{whole}, err
	}
	number := e.lastNumber.Add(1)
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

// partialMessage collects the fragments of the newest fragmented message of one sender.
type partialMessage struct {
	number  uint64
	parts   [][]byte
	missing int
}

// decoder decodes received frames and reassembles fragmented messages, by the ID of their sender.
type decoder struct {
	partialMessages map[uint64]*partialMessage
}

// decode returns the frame in data. It reports false if data is invalid or a fragment that completes no message.
func (d *decoder) decode(data []byte) (frame, bool) {
	var f frame
	if err := decMode.Unmarshal(data, &f); err != nil {
		return frame{}, false
	}
	if f.Fragment != nil {
		whole, ok := d.addFragment(f.From, *f.Fragment)
		if !ok {
			return frame{}, false
		}
		f = frame{}
		if err := decMode.Unmarshal(whole, &f); err != nil {
			return frame{}, false
		}
	}
	return f, f.Message != nil && f.Message.From == f.From
}

// addFragment stores fragment p and returns the whole encoded frame once no part is missing. A fragment of another
// frame of the same sender discards the parts collected so far.
func (d *decoder) addFragment(from uint64, p fragment) ([]byte, bool) {
	if p.Parts < 1 || p.Parts > maxFragments || p.Part < 0 || p.Part >= p.Parts {
		return nil, false
	}
	a := d.partialMessages[from]
	if a == nil || a.number != p.Number || len(a.parts) != p.Parts {
		a = &partialMessage{number: p.Number, parts: make([][]byte, p.Parts), missing: p.Parts}
		d.partialMessages[from] = a
	}
	if a.parts[p.Part] == nil {
		a.parts[p.Part] = p.Data
		a.missing--
	}
	if a.missing > 0 {
		return nil, false
	}
	delete(d.partialMessages, from)
	var whole []byte
	for _, part := range a.parts {
		whole = append(whole, part...)
	}
	return whole, true
}
