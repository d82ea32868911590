package rollout

import (
	"bytes"
	"io"
	"math/rand/v2"
	"testing"
)

// newLargeBatch returns a batch whose items have bodies of the given sizes.
func newLargeBatch(id string, sizes ...int) *Batch {
	rng := rand.New(rand.NewPCG(1, uint64(len(sizes))))
	b := &Batch{ID: id, Host: "h", Path: "/p/", Submitted: 1000}
	for i, size := range sizes {
		body := make([]byte, size)
		for j := range body {
			body[j] = byte(rng.Uint32())
		}
		b.Items = append(b.Items, Item{ID: id + "-" + string(rune('a'+i)), Path: "/p/x", Body: body})
	}
	return b
}

func digestOfTest(*Item) uint64 { return 7 }

// upload stores the bodies of a batch and returns the batch without them.
func upload(t *testing.T, s *State, b *Batch, id string) *Batch {
	t.Helper()
	stripped, forEachPart := b.SplitBodies(id, digestOfTest)
	err := forEachPart(func(p BodyPart) error {
		if len(p.Data) > BodyPartBytes {
			t.Fatalf("a part has %d bytes", len(p.Data))
		}
		if !applyCommand(t, s, Command{StoreBodies: &p, Requires: StateVersion}).Found {
			t.Fatalf("the part at byte %d was not stored", p.Offset)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return stripped
}

func checkBodies(t *testing.T, s *State, b *Batch) {
	t.Helper()
	for _, item := range b.Items {
		body, open, _ := s.ItemBody(b.ID, item.ID)
		got, err := io.ReadAll(body.Reader())
		if err != nil || !open || !bytes.Equal(got, item.Body) || body.Len() != len(item.Body) {
			t.Fatalf("item %s: open %t, %d of %d bytes, equal %t, %v", item.ID, open, len(got), len(item.Body), bytes.Equal(got, item.Body), err)
		}
		var joined []byte
		for len(joined) < body.Len() {
			part, err := body.ReadRange(len(joined), 100_000)
			if err != nil || len(part) == 0 {
				t.Fatalf("item %s: read at %d: %d bytes, %v", item.ID, len(joined), len(part), err)
			}
			joined = append(joined, part...)
		}
		if !bytes.Equal(joined, item.Body) {
			t.Fatalf("item %s: the body read in ranges differs", item.ID)
		}
	}
}

// Guards against bodies of a large batch that are changed, or lost with a snapshot or its segments.
func TestStoredBodiesSurviveSnapshot(t *testing.T) {
	s := newState(t)
	b := newLargeBatch("b", 0, 1, BodyPartBytes, 10, 3*BodyPartBytes+bodyPieceBytes+5, 0, bodyPieceBytes)
	if !applyCommand(t, s, Command{Accept: upload(t, s, b, "u")}).Changed {
		t.Fatal("the batch was not accepted")
	}
	checkBodies(t, s, b)
	open := newLargeBatch("open", 2*BodyPartBytes)
	upload(t, s, open, "w")
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if len(snapshot) > 16<<10 {
		t.Errorf("the snapshot has %d bytes", len(snapshot))
	}
	if err := s.Compacted(snapshot); err != nil {
		t.Fatal(err)
	}
	restored := restoreElsewhere(t, s, snapshot)
	checkBodies(t, restored, b)
	stripped, _ := open.SplitBodies("w", digestOfTest)
	if !applyCommand(t, restored, Command{Accept: stripped}).Changed {
		t.Fatal("an upload was lost with the snapshot")
	}
	checkBodies(t, restored, open)
}

// Guards against a batch that is accepted although a part of its bodies is missing, and against parts that are stored twice.
func TestIncompleteUploadIsNotAccepted(t *testing.T) {
	s := newState(t)
	b := newLargeBatch("b", 2*BodyPartBytes+10)
	stripped, forEachPart := b.SplitBodies("u", digestOfTest)
	var parts []BodyPart
	_ = forEachPart(func(p BodyPart) error {
		p.Data = bytes.Clone(p.Data)
		parts = append(parts, p)
		return nil
	})
	store := func(p BodyPart) bool { return applyCommand(t, s, Command{StoreBodies: &p}).Found }
	if store(parts[1]) || !store(parts[0]) || store(parts[2]) || !store(parts[0]) || !store(parts[1]) {
		t.Fatal("parts must be stored in order, and may be repeated")
	}
	if o := applyCommand(t, s, Command{Accept: stripped}); o.Changed || o.Found {
		t.Fatalf("an incomplete batch was accepted: %+v", o)
	}
	if len(s.Uploads()) != 0 {
		t.Error("the upload of a refused batch is kept")
	}
	if !applyCommand(t, s, Command{Accept: upload(t, s, b, "v")}).Changed {
		t.Fatal("the batch was not accepted when it came again")
	}
	if o := applyCommand(t, s, Command{Accept: upload(t, s, b, "w")}); o.Changed || !o.Found || len(s.Uploads()) != 0 {
		t.Errorf("batch submitted again: %+v, uploads %v", o, s.Uploads())
	}
	checkBodies(t, s, b)
	upload(t, s, b, "x")
	if applyCommand(t, s, Command{DropUploads: []string{"x"}}); len(s.Uploads()) != 0 {
		t.Error("a dropped upload is kept")
	}
}

// Guards against stored bodies that are kept when no item needs them any more.
func TestStoredBodiesAreDropped(t *testing.T) {
	for name, end := range map[string]func(s *State){
		"end": func(s *State) { applyCommand(t, s, Command{EndBatch: "b"}) },
		"results": func(s *State) {
			for i := range 2 {
				applyCommand(t, s, Command{Results: []BatchResult{{"b", Result{Item: i, Completed: true, Text: []byte("x")}}}})
			}
		},
	} {
		s := newState(t)
		applyCommand(t, s, Command{Accept: upload(t, s, newLargeBatch("b", 10<<20, 5), "u")})
		if n, known := s.StoredBodyBytes("b"); n != 10<<20+5 || !known {
			t.Fatalf("%d bytes are stored", n)
		}
		end(s)
		if n, _ := s.StoredBodyBytes("b"); n != 0 {
			t.Errorf("%s: %d bytes are still stored", name, n)
		}
		snapshot, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if segments, _ := ReferencedSegments(snapshot); len(segments) > 1 {
			t.Errorf("%s: %d segments are still referred to", name, len(segments))
		}
	}
}
