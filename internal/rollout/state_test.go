package rollout

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertledge/internal/blobs"
	"filbertledge/internal/fleet"
	"filbertledge/internal/routes"
)

func newState(t testing.TB) *State {
	t.Helper()
	texts, err := blobs.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	s := NewState(texts)
	s.OnFailure = func(err error) { t.Error(err) }
	return s
}

func do(t testing.TB, s *State, c Command) Outcome {
	t.Helper()
	data, err := EncodeCommand(c)
	if err != nil {
		t.Fatal(err)
	}
	o, err := DecodeOutcome(s.Apply(0, data))
	if err != nil {
		t.Fatal(err)
	}
	return o
}

func batchOf(id string) *Batch {
	return &Batch{ID: id, Host: "h", Path: "/p/", Model: "m", Submitted: 1000, Items: []Item{
		{ID: id + "-0", Body: []byte("zero"), Group: "g"}, {ID: id + "-1", Body: []byte("one"), Group: "g"},
	}}
}

func text(t testing.TB, s *State, id string, position int) string {
	t.Helper()
	p, found, err := s.ReadResults(id, position, 1<<20)
	if err != nil || !found || len(p.Results) == 0 {
		t.Fatalf("read: %v %t %v", p, found, err)
	}
	return string(p.Results[0].Text)
}

func TestBatchIsAcceptedOnce(t *testing.T) {
	s := newState(t)
	if !do(t, s, Command{Accept: batchOf("b")}).Changed || do(t, s, Command{Accept: batchOf("b")}).Changed {
		t.Fatal("the repetition of a batch is a new batch")
	}
	do(t, s, Command{Results: []BatchResult{{"b", Result{Item: 1, Completed: true, Text: []byte("first")}}}})
	do(t, s, Command{Results: []BatchResult{{"b", Result{Item: 1, Completed: true, Text: []byte("second")}}}})
	do(t, s, Command{Results: []BatchResult{{"b", Result{Item: 0, Completed: true, Text: []byte("zero")}}}})
	if got := text(t, s, "b", 0); got != "first" {
		t.Fatalf("position 0 holds %q", got)
	}
	p, _, _ := s.ReadResults("b", 0, 1<<20)
	if len(p.Results) != 2 || p.IDs[0] != "b-1" || p.Next != 2 || p.Total != 2 {
		t.Fatalf("page %+v", p)
	}
	if _, open, _ := s.ItemBody("b", "b-1"); open {
		t.Fatal("the body of a listed item is still there")
	}
	do(t, s, Command{Accept: batchOf("b")})
	if got := text(t, s, "b", 0); got != "first" {
		t.Fatalf("after a resend position 0 holds %q", got)
	}
}

func TestReadKeepsToItsLimit(t *testing.T) {
	s := newState(t)
	do(t, s, Command{Accept: batchOf("b")})
	for i := range 2 {
		do(t, s, Command{Results: []BatchResult{{"b", Result{Item: i, Completed: true, Text: bytes.Repeat([]byte("x"), 1000)}}}})
	}
	p, _, err := s.ReadResults("b", 0, 10)
	if err != nil || len(p.Results) != 1 || p.Next != 1 {
		t.Fatalf("page of %d results, next %d, %v", len(p.Results), p.Next, err)
	}
}

func TestEndKeepsWhatIsListed(t *testing.T) {
	s := newState(t)
	do(t, s, Command{Accept: batchOf("b")})
	do(t, s, Command{Results: []BatchResult{{"b", Result{Item: 0, Completed: true, Text: []byte("t")}}}})
	if o := do(t, s, Command{EndBatch: "b"}); !o.Changed || !o.Found {
		t.Fatalf("end: %+v", o)
	}
	if o := do(t, s, Command{EndBatch: "b"}); o.Changed || !o.Found {
		t.Fatalf("repeated end: %+v", o)
	}
	if do(t, s, Command{EndBatch: "none"}).Found {
		t.Fatal("an unknown batch was ended")
	}
	if got := text(t, s, "b", 0); got != "t" {
		t.Fatal("a listed result is gone")
	}
	if len(s.OpenBatches()) != 0 {
		t.Fatal("an ended batch is open")
	}
	if old := s.ExpiredBatches(time.UnixMilli(1001)); len(old) != 1 {
		t.Fatal("the batch does not expire")
	}
}

func TestConfigurationTakesTheHighestVersion(t *testing.T) {
	s := newState(t)
	for _, v := range []uint64{3, 2, 3, 7, 5} {
		do(t, s, Command{Configure: &routes.Configuration{Version: v, Document: []byte{byte(v)}}})
	}
	if c := s.Configuration(); c.Version != 7 || c.Document[0] != 7 {
		t.Fatalf("in force: %+v", c)
	}
	do(t, s, Command{Configure: &routes.Configuration{Version: 7, Document: []byte("other")}})
	if c := s.Configuration(); c.Document[0] != 7 {
		t.Fatal("other content under the version held is in force")
	}
}

func TestProgressJoinsWithTheResult(t *testing.T) {
	s := newState(t)
	do(t, s, Command{Accept: batchOf("b")})
	do(t, s, Command{Progress: []Progress{{Batch: "b", Item: 0, Text: []byte("ab"), Events: 1, Versions: []uint64{2}}}})
	do(t, s, Command{Progress: []Progress{{Batch: "b", Item: 0, Offset: 2, Text: []byte("cd"), Events: 2, Versions: []uint64{2, 3}}}})
	open := s.OpenBatches()[0]
	if p := open.Partials[0]; string(p.Text) != "abcd" || p.Events != 2 || len(p.Versions) != 2 {
		t.Fatalf("partial %+v", p)
	}
	// An item that started again replaces what was committed.
	do(t, s, Command{Progress: []Progress{{Batch: "b", Item: 0, Text: []byte("xy"), Events: 1, Versions: []uint64{3}}}})
	do(t, s, Command{Results: []BatchResult{{"b", Result{Item: 0, Completed: true, Offset: 2, Text: []byte("z")}}}})
	if got := text(t, s, "b", 0); got != "xyz" {
		t.Fatalf("text %q", got)
	}
	// A result that assumes more than is committed is not listed with a gap.
	do(t, s, Command{Results: []BatchResult{{"b", Result{Item: 1, Completed: true, Offset: 5, Text: []byte("z")}}}})
	if p, _, _ := s.ReadResults("b", 0, 1<<20); len(p.Results) != 1 {
		t.Fatal("a text with a gap was listed")
	}
}

func TestDepartureOutlivesLaterRegistrations(t *testing.T) {
	s := newState(t)
	v := fleet.Server{ID: "s", Address: "10.0.0.1:1", Incarnation: 5}
	do(t, s, Command{Register: &v})
	do(t, s, Command{Depart: &ServerIncarnation{Server: "s", Incarnation: 5}})
	do(t, s, Command{Register: &v})
	if len(s.Servers()) != 0 {
		t.Fatal("a server that left is registered again")
	}
	v.Incarnation = 6
	do(t, s, Command{Register: &v})
	if len(s.Servers()) != 1 {
		t.Fatal("the next incarnation is not registered")
	}
}

func TestMalformedCommandChangesNothing(t *testing.T) {
	s := newState(t)
	do(t, s, Command{Accept: batchOf("b")})
	before, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	s.Apply(0, []byte{0xff, 0x00})
	do(t, s, Command{Results: []BatchResult{{"b", Result{Item: 9}}, {"none", Result{}}, {"b", Result{Item: -1}}}})
	after, err := s.Snapshot()
	if err != nil || !bytes.Equal(before, after) {
		t.Fatalf("the state changed: %v", err)
	}
}

// TestSnapshotOnAnotherVM restores snapshots of random histories on a second VM that copies the texts.
func TestSnapshotOnAnotherVM(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		source := newState(t)
		for range rapid.IntRange(0, 30).Draw(r, "commands") {
			do(t, source, drawCommand(r))
		}
		snapshot, err := source.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		target := newState(t)
		segments, err := ReferencedSegments(snapshot)
		if err != nil {
			t.Fatal(err)
		}
		for number, length := range segments {
			read := func(offset int64) ([]byte, error) { return source.texts.(*blobs.Store).ReadChunk(number, offset) }
			if err := target.texts.(*blobs.Store).CopySegment(number, length, read); err != nil {
				t.Fatal(err)
			}
		}
		if err := target.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		for _, id := range []string{"a", "b", "c"} {
			want, found, _ := source.ReadResults(id, 0, 1<<20)
			got, gotFound, err := target.ReadResults(id, 0, 1<<20)
			if err != nil || found != gotFound || len(want.Results) != len(got.Results) {
				t.Fatalf("batch %s: %v, %d results, want %d", id, err, len(got.Results), len(want.Results))
			}
			for i := range want.Results {
				if !bytes.Equal(want.Results[i].Text, got.Results[i].Text) || want.IDs[i] != got.IDs[i] {
					t.Fatalf("batch %s position %d differs", id, i)
				}
			}
		}
		again, err := target.Snapshot()
		if err != nil || len(again) != len(snapshot) {
			t.Fatalf("the restored state has another snapshot: %v", err)
		}
	})
}

func drawCommand(r *rapid.T) Command {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "batch")
	item := rapid.IntRange(0, 1).Draw(r, "item")
	value := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(r, "text")
	switch rapid.IntRange(0, 5).Draw(r, "kind") {
	case 0:
		return Command{Accept: batchOf(id)}
	case 1:
		return Command{Results: []BatchResult{{id, Result{Item: item, Completed: true, Text: value}}}}
	case 2:
		return Command{EndBatch: id}
	case 3:
		return Command{Progress: []Progress{{Batch: id, Item: item, Text: value, Events: 1}}}
	case 4:
		return Command{Publish: &ModelVersion{Model: id, Version: uint64(item + 1)}}
	default:
		return Command{Configure: &routes.Configuration{Version: uint64(len(value))}}
	}
}

// failingTexts is a disk that takes nothing.
type failingTexts struct{ TextStore }

var errDisk = errors.New("disk failed")

func (failingTexts) Append([]byte) (blobs.Ref, error) { return blobs.Ref{}, errDisk }

func TestAFailedDiskEndsTheReplica(t *testing.T) {
	s := NewState(failingTexts{})
	var got error
	s.OnFailure = func(err error) { got = err }
	do(t, s, Command{Accept: batchOf("b")})
	do(t, s, Command{Results: []BatchResult{{"b", Result{Item: 0, Completed: true, Text: []byte("x")}}}})
	if !errors.Is(got, errDisk) {
		t.Fatalf("got %v", got)
	}
	if p, _, _ := s.ReadResults("b", 0, 1<<20); len(p.Results) != 0 {
		t.Fatal("a result without its text is listed")
	}
}
