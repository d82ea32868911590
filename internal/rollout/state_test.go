package rollout

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
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
	// The store writes in the background, also while its folder is removed.
	t.Cleanup(func() { _ = texts.Close() })
	s := NewState(texts)
	s.OnFailure = func(err error) { t.Error(err) }
	return s
}

func applyCommand(t testing.TB, s *State, c Command) Outcome {
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

func newBatch(id string) *Batch {
	return &Batch{ID: id, Host: "h", Path: "/p/", Model: "m", Submitted: 1000, Items: []Item{
		{ID: id + "-0", Body: []byte("zero"), Group: "g"}, {ID: id + "-1", Body: []byte("one"), Group: "g"},
	}}
}

func readText(t testing.TB, s *State, id string, position int) string {
	t.Helper()
	p, found, err := s.ReadResults(id, position, 1<<20)
	if err != nil || !found || len(p.Results) == 0 {
		t.Fatalf("read: %v %t %v", p, found, err)
	}
	return string(p.Results[0].Text)
}

// Guards against a resent batch that is accepted again, and against a result that replaces an earlier result of the
// same item.
func TestAcceptBatchIgnoresResend(t *testing.T) {
	s := newState(t)
	if !applyCommand(t, s, Command{Accept: newBatch("b")}).Changed || applyCommand(t, s, Command{Accept: newBatch("b")}).Changed {
		t.Fatal("a resent batch was accepted again, or the batch was not accepted at all")
	}
	applyCommand(t, s, Command{Results: []BatchResult{{"b", Result{Item: 1, Completed: true, Text: []byte("first")}}}})
	applyCommand(t, s, Command{Results: []BatchResult{{"b", Result{Item: 1, Completed: true, Text: []byte("second")}}}})
	applyCommand(t, s, Command{Results: []BatchResult{{"b", Result{Item: 0, Completed: true, Text: []byte("zero")}}}})
	if got := readText(t, s, "b", 0); got != "first" {
		t.Fatalf("text at position 0: %q", got)
	}
	p, _, _ := s.ReadResults("b", 0, 1<<20)
	if len(p.Results) != 2 || p.IDs[0] != "b-1" || p.Next != 2 || p.Total != 2 {
		t.Fatalf("page %+v", p)
	}
	if _, open, _ := s.ItemBody("b", "b-1"); open {
		t.Fatal("the request body of an item with a result is still returned")
	}
	applyCommand(t, s, Command{Accept: newBatch("b")})
	if got := readText(t, s, "b", 0); got != "first" {
		t.Fatalf("text at position 0 after the batch was resent: %q", got)
	}
}

// Guards against pages that exceed the byte limit, and against empty pages when the first result alone exceeds it.
func TestReadResultsRespectsByteLimit(t *testing.T) {
	s := newState(t)
	applyCommand(t, s, Command{Accept: newBatch("b")})
	for i := range 2 {
		applyCommand(t, s, Command{Results: []BatchResult{{"b", Result{Item: i, Completed: true, Text: bytes.Repeat([]byte("x"), 1000)}}}})
	}
	p, _, err := s.ReadResults("b", 0, 10)
	if err != nil || len(p.Results) != 1 || p.Next != 1 {
		t.Fatalf("page of %d results, next %d, %v", len(p.Results), p.Next, err)
	}
}

// Guards against results that are lost when a batch ends, and against ended batches that stay open or never expire.
func TestEndBatchKeepsResults(t *testing.T) {
	s := newState(t)
	applyCommand(t, s, Command{Accept: newBatch("b")})
	applyCommand(t, s, Command{Results: []BatchResult{{"b", Result{Item: 0, Completed: true, Text: []byte("t")}}}})
	if o := applyCommand(t, s, Command{EndBatch: "b"}); !o.Changed || !o.Found {
		t.Fatalf("end: %+v", o)
	}
	if o := applyCommand(t, s, Command{EndBatch: "b"}); o.Changed || !o.Found {
		t.Fatalf("repeated end: %+v", o)
	}
	if applyCommand(t, s, Command{EndBatch: "none"}).Found {
		t.Fatal("ending an unknown batch reports that it was found")
	}
	if got := readText(t, s, "b", 0); got != "t" {
		t.Fatal("a result was lost when the batch ended")
	}
	if len(s.OpenBatches()) != 0 {
		t.Fatal("an ended batch is returned as open")
	}
	if expired := s.ExpiredBatches(time.UnixMilli(1001)); len(expired) != 1 {
		t.Fatal("the ended batch does not expire")
	}
}

// Guards against an older configuration that arrives late, and against different content under the current version.
func TestConfigureKeepsHighestVersion(t *testing.T) {
	s := newState(t)
	for _, v := range []uint64{3, 2, 3, 7, 5} {
		applyCommand(t, s, Command{Configure: &routes.Configuration{Version: v, Document: []byte{byte(v)}}})
	}
	if c := s.Configuration(); c.Version != 7 || c.Document[0] != 7 {
		t.Fatalf("current configuration: %+v", c)
	}
	applyCommand(t, s, Command{Configure: &routes.Configuration{Version: 7, Document: []byte("other")}})
	if c := s.Configuration(); c.Document[0] != 7 {
		t.Fatal("a configuration with the current version replaced the current one")
	}
}

// Guards against texts with gaps or repeated parts when a result continues the committed progress of its item.
func TestResultContinuesCommittedProgress(t *testing.T) {
	s := newState(t)
	applyCommand(t, s, Command{Accept: newBatch("b")})
	applyCommand(t, s, Command{Progress: []Progress{{Batch: "b", Item: 0, Text: []byte("ab"), Events: 1, Versions: []uint64{2}}}})
	applyCommand(t, s, Command{Progress: []Progress{{Batch: "b", Item: 0, Offset: 2, Text: []byte("cd"), Events: 2, Versions: []uint64{2, 3}}}})
	open := s.OpenBatches()[0]
	if p := open.Partials[0]; string(p.Text) != "abcd" || p.Events != 2 || len(p.Versions) != 2 {
		t.Fatalf("partial %+v", p)
	}
	// Progress with offset 0 of a restarted item replaces the committed text.
	applyCommand(t, s, Command{Progress: []Progress{{Batch: "b", Item: 0, Text: []byte("xy"), Events: 1, Versions: []uint64{3}}}})
	applyCommand(t, s, Command{Results: []BatchResult{{"b", Result{Item: 0, Completed: true, Offset: 2, Text: []byte("z")}}}})
	if got := readText(t, s, "b", 0); got != "xyz" {
		t.Fatalf("text %q", got)
	}
	// A result whose offset exceeds the committed text is rejected, because the text would have a gap.
	applyCommand(t, s, Command{Results: []BatchResult{{"b", Result{Item: 1, Completed: true, Offset: 5, Text: []byte("z")}}}})
	if p, _, _ := s.ReadResults("b", 0, 1<<20); len(p.Results) != 1 {
		t.Fatal("a result whose text has a gap was stored")
	}
}

// Guards against a departed server that is registered again by a late command.
func TestRegisterIgnoresDepartedIncarnation(t *testing.T) {
	s := newState(t)
	v := fleet.Server{ID: "s", Address: "10.0.0.1:1", Incarnation: 5}
	applyCommand(t, s, Command{Register: &v})
	applyCommand(t, s, Command{Depart: &ServerIncarnation{Server: "s", Incarnation: 5}})
	applyCommand(t, s, Command{Register: &v})
	if len(s.Servers()) != 0 {
		t.Fatal("a departed incarnation was registered again")
	}
	v.Incarnation = 6
	applyCommand(t, s, Command{Register: &v})
	if len(s.Servers()) != 1 {
		t.Fatal("the next incarnation is not registered")
	}
}

// Guards against state that is changed by an undecodable command or by results for unknown batches and items.
func TestApplyMalformedCommandKeepsState(t *testing.T) {
	s := newState(t)
	applyCommand(t, s, Command{Accept: newBatch("b")})
	before, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	s.Apply(0, []byte{0xff, 0x00})
	applyCommand(t, s, Command{Results: []BatchResult{{"b", Result{Item: 9}}, {"none", Result{}}, {"b", Result{Item: -1}}}})
	after, err := s.Snapshot()
	if err != nil || !bytes.Equal(before, after) {
		t.Fatalf("the state changed: %v", err)
	}
}

// restoreElsewhere copies the segments that a snapshot refers to to another VM and restores the snapshot there.
func restoreElsewhere(t testing.TB, source *State, snapshot []byte) *State {
	t.Helper()
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
	return target
}

// TestRestoreSnapshotOnAnotherVM guards against state that is lost or changed when a snapshot is restored on
// another VM. It applies random commands, copies the referenced text segments to a second VM and restores the
// snapshot there.
func TestRestoreSnapshotOnAnotherVM(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		source := newState(t)
		for range rapid.IntRange(0, 30).Draw(r, "commands") {
			applyCommand(t, source, randomCommand(r))
		}
		snapshot, err := source.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		target := restoreElsewhere(t, source, snapshot)
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
			t.Fatalf("the snapshot of the restored state differs in size: %v", err)
		}
	})
}

func randomCommand(r *rapid.T) Command {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "batch")
	item := rapid.IntRange(0, 1).Draw(r, "item")
	value := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(r, "text")
	switch rapid.IntRange(0, 5).Draw(r, "kind") {
	case 0:
		return Command{Accept: newBatch(id)}
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

// failingTextStore fails every Append.
type failingTextStore struct{ TextStore }

var errDisk = errors.New("disk failed")

func (failingTextStore) Append([]byte) (blobs.Ref, error) { return blobs.Ref{}, errDisk }

// Guards against a result that is stored although its text could not be written.
func TestFailedAppendCallsOnFailure(t *testing.T) {
	s := NewState(failingTextStore{})
	var got error
	s.OnFailure = func(err error) { got = err }
	applyCommand(t, s, Command{Accept: newBatch("b")})
	applyCommand(t, s, Command{Results: []BatchResult{{"b", Result{Item: 0, Completed: true, Text: []byte("x")}}}})
	if !errors.Is(got, errDisk) {
		t.Fatalf("error passed to OnFailure: %v", got)
	}
	if p, _, _ := s.ReadResults("b", 0, 1<<20); len(p.Results) != 0 {
		t.Fatal("a result was stored without its text")
	}
}

// unsyncedTextStore fails every Sync.
type unsyncedTextStore struct{ TextStore }

func (unsyncedTextStore) Sync() error { return errDisk }

// Guards against a snapshot that refers to texts that a power loss can still take away.
func TestSnapshotNeedsSyncedTexts(t *testing.T) {
	s := newState(t)
	applyCommand(t, s, Command{Accept: newBatch("b")})
	s.texts = unsyncedTextStore{s.texts}
	if _, err := s.Snapshot(); !errors.Is(err, errDisk) {
		t.Fatalf("a snapshot whose texts are not synced: %v", err)
	}
}

// Guards against a score that is visible without its result or replaced later, and against the loss of a score, or of
// the mark that a text is complete, with a snapshot.
func TestScoresAreStoredWithTheirResults(t *testing.T) {
	s := newState(t)
	b := newBatch("b")
	for i := range b.Items {
		b.Items[i].Scorer = &ScorerCall{ID: "call", Host: "h", Path: "/score/", Body: []byte("x")}
	}
	applyCommand(t, s, Command{Accept: b})
	applyCommand(t, s, Command{Progress: []Progress{
		{Batch: "b", Item: 0, Text: []byte("zero"), Events: 1, Complete: true}, {Batch: "b", Item: 1, Text: []byte("o"), Events: 1},
	}})
	if p, _, _ := s.ReadResults("b", 0, 1<<20); len(p.Results) != 0 {
		t.Fatalf("a complete text without a score is listed: %+v", p.Results)
	}
	partials := s.OpenBatches()[0].Partials
	if !partials[0].Complete || partials[1].Complete {
		t.Fatalf("complete texts: %t and %t, want only the first", partials[0].Complete, partials[1].Complete)
	}
	applyCommand(t, s, Command{Results: []BatchResult{{"b", Result{Item: 0, Completed: true, Offset: 4, Score: "first"}}}})
	applyCommand(t, s, Command{Results: []BatchResult{{"b", Result{Item: 0, Completed: true, Offset: 4, Score: "second"}}}})
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewState(s.texts)
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	for name, state := range map[string]*State{"applied": s, "restored": restored} {
		p, _, err := state.ReadResults("b", 0, 1<<20)
		if err != nil || len(p.Results) != 1 || p.Results[0].Score != "first" || string(p.Results[0].Text) != "zero" {
			t.Errorf("%s: got %+v, %v, want one result with the first score", name, p.Results, err)
		}
		if items := state.OpenBatches()[0].Batch.Items; items[0].Scorer != nil || items[1].Scorer == nil || string(items[1].Scorer.Body) != "x" {
			t.Errorf("%s: scorer calls %+v and %+v, want only the one of the item without a result", name, items[0].Scorer, items[1].Scorer)
		}
	}
	// A text that runs again replaces a complete one.
	applyCommand(t, s, Command{Progress: []Progress{{Batch: "b", Item: 1, Offset: 1, Text: []byte("ne"), Events: 2, Complete: true}}})
	applyCommand(t, s, Command{Progress: []Progress{{Batch: "b", Item: 1, Text: []byte("again"), Events: 1}}})
	if p := s.OpenBatches()[0].Partials[1]; p.Complete || string(p.Text) != "again" {
		t.Errorf("after a restart of the text: %q, complete %t", p.Text, p.Complete)
	}
}

// Guards against progress that loses the software version of its text, in the state or in a snapshot, and against a text
// that began again and keeps the version of the old one.
func TestProgressKeepsSoftware(t *testing.T) {
	s := newState(t)
	applyCommand(t, s, Command{Accept: newBatch("b")})
	applyCommand(t, s, Command{Progress: []Progress{
		{Batch: "b", Item: 0, Text: []byte("zero"), Events: 1, Software: "v1"}, {Batch: "b", Item: 1, Text: []byte("o"), Events: 1, Software: "v1"},
	}})
	applyCommand(t, s, Command{Progress: []Progress{{Batch: "b", Item: 1, Text: []byte("again"), Events: 1, Software: "v2"}}})
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewState(s.texts)
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	for name, state := range map[string]*State{"applied": s, "restored": restored} {
		if p := state.OpenBatches()[0].Partials; p[0].Software != "v1" || p[1].Software != "v2" {
			t.Errorf("%s: software %q and %q", name, p[0].Software, p[1].Software)
		}
	}
}

// Guards against a log or a snapshot of a build without scores that cannot be read any more. The files in testdata were
// written by such a build: the commands in their order, and the snapshot after them.
func TestReadsStateWithoutScores(t *testing.T) {
	s := newState(t)
	for i := range 6 {
		data, err := os.ReadFile(fmt.Sprintf("testdata/command-without-scores-%d.cbor", i))
		if err != nil {
			t.Fatal(err)
		}
		if o, err := DecodeOutcome(s.Apply(uint64(i+1), data)); err != nil || !o.Found {
			t.Fatalf("command %d: %+v, %v", i, o, err)
		}
	}
	if got := readText(t, s, "b", 0); got != "one\ntwo" {
		t.Errorf("got text %q", got)
	}
	data, err := os.ReadFile("testdata/snapshot-without-scores.cbor")
	if err != nil {
		t.Fatal(err)
	}
	restored := NewState(s.texts)
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	for name, state := range map[string]*State{"log": s, "snapshot": restored} {
		open := state.OpenBatches()
		if len(open) != 1 || open[0].HasResult[1] || string(open[0].Partials[1].Text) != "uno" || open[0].Partials[1].Complete || string(open[0].Batch.Items[1].Body) != "body1" {
			t.Errorf("%s: open batches %+v", name, open)
		}
		if c := state.Configuration(); c == nil || c.Version != 3 || state.Versions()["m"] != 2 || len(state.Servers()) != 1 {
			t.Errorf("%s: configuration %+v, versions %v, servers %v", name, c, state.Versions(), state.Servers())
		}
	}
}

// Guards against a stream whose software version is lost with a snapshot, replaced by a later attempt, or kept forever.
func TestStreamsKeepTheirSoftware(t *testing.T) {
	s := newState(t)
	begin := func(id, software string, at time.Duration) {
		applyCommand(t, s, Command{BeginStream: &StreamBegin{ID: id, Software: software, At: at.Milliseconds()}})
	}
	begin("a", "v1", time.Minute)
	begin("a", "v2", time.Minute)
	begin("b", "v2", 2*time.Minute)
	begin("unknown", "", 2*time.Minute)
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewState(s.texts)
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	for name, state := range map[string]*State{"applied": s, "restored": restored} {
		a, _ := state.StreamSoftware("a")
		b, _ := state.StreamSoftware("b")
		if _, known := state.StreamSoftware("unknown"); a != "v1" || b != "v2" || known {
			t.Errorf("%s: software %q and %q, unknown one known %t", name, a, b, known)
		}
	}
	begin("c", "v2", time.Minute+streamRetention+time.Second)
	if _, known := s.StreamSoftware("a"); known {
		t.Error("a stream is kept beyond its retention")
	}
	if _, known := s.StreamSoftware("b"); !known {
		t.Error("a stream is dropped within its retention")
	}
	for i := range maxStreams {
		s.streams.add(StreamBegin{ID: fmt.Sprint(i), Software: "v2", At: time.Hour.Milliseconds()})
	}
	if len(s.streams.list) != maxStreams || len(s.streams.software) != maxStreams {
		t.Errorf("%d and %d streams are kept, want %d", len(s.streams.list), len(s.streams.software), maxStreams)
	}
}

// Guards against a limit that a new leader does not know, and against one that outlives its withdrawal or its server.
func TestLimitsAreStoredWithTheirServers(t *testing.T) {
	s := newState(t)
	for _, id := range []string{"a", "b", "c"} {
		applyCommand(t, s, Command{Register: &fleet.Server{ID: id, Address: id + ":1", Incarnation: 1}})
	}
	applyCommand(t, s, Command{Limits: []ServerLimit{{Server: "a", PerSecond: 2, At: 1}, {Server: "b", PerSecond: 3, At: 1}, {Server: "c", At: 1}, {Server: "gone", PerSecond: 1, At: 1}}})
	applyCommand(t, s, Command{Limits: []ServerLimit{{Server: "b", Withdrawn: true, At: 2}}})
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewState(s.texts)
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	want := []ServerLimit{{Server: "a", PerSecond: 2, At: 1}, {Server: "c", At: 1}}
	for name, state := range map[string]*State{"applied": s, "restored": restored} {
		if got := state.Limits(); !slices.Equal(got, want) {
			t.Errorf("%s: %+v, want %+v", name, got, want)
		}
	}
	applyCommand(t, s, Command{Unregister: []ServerIncarnation{{Server: "a", Incarnation: 1}}})
	if got := s.Limits(); len(got) != 1 {
		t.Errorf("the limit of a server that is gone is kept: %+v", got)
	}
}

// Guards against a wrong departure that stays in the state or its snapshot, and against one that earlier builds recorded with the
// time of day.
func TestReturnEndsDepartures(t *testing.T) {
	for name, departed := range map[string]int64{"of its start": 5, "with a later time": 1000} {
		s := newState(t)
		server := fleet.Server{ID: "s", Address: "10.0.0.1:80", Incarnation: 5, Returns: 1}
		applyCommand(t, s, Command{Register: &fleet.Server{ID: "s", Address: "10.0.0.1:80", Incarnation: 5}})
		applyCommand(t, s, Command{Depart: &ServerIncarnation{Server: "s", Incarnation: departed}})
		applyCommand(t, s, Command{Depart: &ServerIncarnation{Server: "other", Incarnation: departed}})
		applyCommand(t, s, Command{Return: &server, Requires: StateVersion})
		snapshot, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		for _, replica := range []*State{s, restoreElsewhere(t, s, snapshot)} {
			if _, left := replica.LastDeparture("s"); left || !replica.IsRegistered("s", 5) || replica.Servers()[0].Returns != 1 {
				t.Errorf("%s: departed %t, servers %+v", name, left, replica.Servers())
			}
			if _, left := replica.LastDeparture("other"); !left {
				t.Errorf("%s: the departure of another server ended", name)
			}
		}
	}
}
