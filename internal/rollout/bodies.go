package rollout

import (
	"bytes"
	"io"

	"filbertledge/internal/blobs"
	"filbertledge/internal/errs"
)

const (
	// BodyPartBytes is the size of the parts in which the bodies of a large batch are stored. The last part may be smaller.
	// A part is one log entry.
	BodyPartBytes = 512 << 10
	// bodyPieceBytes is the size of the values in which a part is stored, and thus what a reader of a body holds in memory.
	// It divides BodyPartBytes.
	bodyPieceBytes = 32 << 10
)

// StoredBody is the position of a body among the stored bodies of its batch, in bytes.
type StoredBody struct {
	Offset int64 `cbor:"1,keyasint,omitempty"`
	Length int   `cbor:"2,keyasint,omitempty"`
	// Digest identifies the content of the item, as suspects.Digest of the body and the names of the item.
	Digest uint64 `cbor:"3,keyasint,omitempty"`
}

// BodyPart is a part of the bodies of a batch that is submitted after all of them. Parts are stored in order; a part that is
// stored already changes nothing.
type BodyPart struct {
	Upload string `cbor:"1,keyasint"`
	Offset int64  `cbor:"2,keyasint,omitempty"` // of the part in the upload, a multiple of BodyPartBytes
	Data   []byte `cbor:"3,keyasint"`           // at most BodyPartBytes
}

// pieces are the values that hold the stored bodies of a batch, of bodyPieceBytes each but for the last one.
type pieces []blobs.Ref

func (p pieces) bytes() int64 {
	if len(p) == 0 {
		return 0
	}
	return int64(len(p)-1)*bodyPieceBytes + int64(p[len(p)-1].Length)
}

func (p pieces) forEach(visit func(blobs.Ref)) {
	for _, r := range p {
		visit(r)
	}
}

// StoredBytes returns the size of the stored bodies that the items refer to, in bytes.
func (b *Batch) StoredBytes() int64 {
	total := int64(0)
	for i := range b.Items {
		if at := b.Items[i].Stored; at != nil {
			total = max(total, at.Offset+int64(at.Length))
		}
	}
	return total
}

// storeBodies appends a part to its upload. Found is false if an earlier part is missing.
func (s *State) storeBodies(p *BodyPart) Outcome {
	bodies := s.uploads[p.Upload]
	switch end := bodies.bytes(); {
	case p.Offset+int64(len(p.Data)) <= end:
		return Outcome{Found: true}
	case p.Offset != end || end%BodyPartBytes != 0 || len(p.Data) > BodyPartBytes:
		return Outcome{}
	}
	for data := p.Data; len(data) > 0; {
		n := min(len(data), bodyPieceBytes)
		ref, err := s.texts.AppendBody(data[:n])
		if err != nil {
			s.OnFailure(err)
			return Outcome{}
		}
		bodies, data = append(bodies, ref), data[n:]
	}
	s.uploads[p.Upload] = bodies
	return Outcome{Found: true}
}

// Uploads returns the IDs of the uploads whose batch is not submitted yet.
func (s *State) Uploads() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]string, 0, len(s.uploads))
	for id := range s.uploads {
		out = append(out, id)
	}
	return out
}

// BodyBytes returns the size of the bodies that the items hold, in bytes.
func (b *Batch) BodyBytes() int64 {
	total := int64(0)
	for i := range b.Items {
		total += int64(len(b.Items[i].Body))
	}
	return total
}

// SplitBodies returns a copy of a batch without the bodies of its items, which refer to the upload, and a function that
// passes the parts of the upload to store, in order. The Data of a part is valid until store returns. digest returns the content
// digest of an item.
func (b *Batch) SplitBodies(upload string, digest func(*Item) uint64) (stripped *Batch, forEachPart func(store func(BodyPart) error) error) {
	c := *b
	c.Upload, c.Items = upload, make([]Item, len(b.Items))
	end := int64(0)
	for i, item := range b.Items {
		if length := len(item.Body); length > 0 {
			item.Stored = &StoredBody{Offset: end, Length: length, Digest: digest(&b.Items[i])}
			item.Body = nil
			end += int64(length)
		}
		c.Items[i] = item
	}
	return &c, func(store func(BodyPart) error) error {
		part := BodyPart{Upload: upload, Data: make([]byte, 0, min(BodyPartBytes, end))}
		for i := range b.Items {
			for body := b.Items[i].Body; len(body) > 0; {
				n := min(len(body), BodyPartBytes-len(part.Data))
				part.Data, body = append(part.Data, body[:n]...), body[n:]
				if len(part.Data) < BodyPartBytes {
					continue
				}
				if err := store(part); err != nil {
					return err
				}
				part.Offset, part.Data = part.Offset+BodyPartBytes, part.Data[:0]
			}
		}
		if len(part.Data) == 0 {
			return nil
		}
		return store(part)
	}
}

// Body is the request body of an item. It is in memory or, for items of large batches, in the TextStore.
type Body struct {
	inline []byte
	stored pieces
	at     StoredBody
	store  TextStore
}

// InlineBody returns a body that is in memory.
func InlineBody(b []byte) Body { return Body{inline: b} }

// Inline returns the body if it is in memory.
func (b *Body) Inline() (body []byte, ok bool) { return b.inline, b.store == nil }

// Len returns the size of the body in bytes.
func (b *Body) Len() int { return len(b.inline) + b.at.Length }

// Reader returns a reader of the body. Of a stored body it holds bodyPieceBytes in memory. Its errors are those of
// TextStore.Read; one that the end of the batch causes is possible at any time.
func (b *Body) Reader() io.Reader {
	if b.store == nil {
		return bytes.NewReader(b.inline)
	}
	return &bodyReader{body: b}
}

// ReadRange returns up to limit bytes of the body from offset on.
func (b *Body) ReadRange(offset, limit int) ([]byte, error) {
	if offset < 0 || offset > b.Len() {
		return nil, errs.New(errs.InvalidArgument, "ask for a part of the body", "offset %d is outside of the body of %d bytes", offset, b.Len())
	}
	limit = min(limit, b.Len()-offset)
	if b.store == nil {
		return b.inline[offset : offset+limit], nil
	}
	out := make([]byte, limit)
	_, err := io.ReadFull(&bodyReader{body: b, position: offset}, out)
	return out, err
}

// bodyReader reads a stored body piece by piece.
type bodyReader struct {
	body     *Body
	position int
	rest     []byte // what is left of the piece at position
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if r.position == r.body.at.Length {
		return 0, io.EOF
	}
	if len(r.rest) == 0 {
		start := r.body.at.Offset + int64(r.position)
		piece, err := r.body.store.Read(r.body.stored[start/bodyPieceBytes])
		if err != nil {
			return 0, err
		}
		piece = piece[start%bodyPieceBytes:]
		r.rest = piece[:min(len(piece), r.body.at.Length-r.position)]
	}
	n := copy(p, r.rest)
	r.position, r.rest = r.position+n, r.rest[n:]
	return n, nil
}

// bodyOf returns the body of an item. The caller holds the lock.
func (s *State) bodyOf(batch *batchState, i int) Body {
	item := &batch.Batch.Items[i]
	if item.Stored == nil {
		return InlineBody(item.Body)
	}
	return Body{stored: batch.Bodies, at: *item.Stored, store: s.texts}
}
