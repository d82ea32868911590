package control

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"github.com/google/uuid"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/table"
)

// testStart is the time of the first command in tests of the state machine.
var testStart = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// tester is the subset of testing.TB that rapid.T also implements.
type tester interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// driver applies commands to one state machine, with its own log index and clock.
type driver struct {
	t     tester
	m     *StateMachine
	index uint64
	now   time.Time
}

func newDriver(t tester) *driver {
	return &driver{t: t, m: NewStateMachine(), now: testStart}
}

func (d *driver) do(c Command) Result {
	d.t.Helper()
	c.ProposedAt = d.now
	data, err := EncodeCommand(c)
	if err != nil {
		d.t.Fatal(err)
	}
	d.index++
	res, err := DecodeResult(d.m.Apply(d.index, data))
	if err != nil {
		d.t.Fatal(err)
	}
	return res
}

func (d *driver) want(c Command, kind errs.Kind) Result {
	d.t.Helper()
	res := d.do(c)
	if res.ErrorKind != string(kind) {
		d.t.Fatalf("kind %q (%s), want %q", res.ErrorKind, res.Error, kind)
	}
	return res
}

func edit(id uuid.UUID, version uint64, row table.Row) Command {
	return Command{EditRow: &EditRow{EditID: id, ExpectedVersion: version, Row: row, Operator: "op"}}
}

func (d *driver) id(number uint64) uuid.UUID { return idAt(d.now, number) }

// TestEditIsAppliedOnce guards against edits that are applied twice, overwrite each other, or get a different result
// when they are resent.
func TestEditIsAppliedOnce(t *testing.T) {
	d := newDriver(t)
	first := edit(d.id(1), 0, testRow("chat", 1))
	one := d.want(first, "")
	if one.Row.Version != 1 || !one.Accepted {
		t.Fatalf("first edit: %+v", one)
	}
	lost := d.want(edit(d.id(2), 0, testRow("chat", 2)), errs.Conflict)
	if lost.Row == nil || lost.Row.Priority != 1 {
		t.Fatalf("the conflict does not show the winner: %+v", lost.Row)
	}
	if same := d.want(edit(d.id(3), 0, testRow("chat", 1)), ""); same.Row.Version != 1 {
		t.Fatalf("the same edit by two operators: %+v", same.Row)
	}
	d.want(edit(d.id(4), 1, testRow("chat", 3)), "")
	again := d.want(first, "")
	if !again.Replayed || again.Row.Version != 1 || again.Row.Priority != 1 {
		t.Fatalf("a resend returns another result: %+v", again)
	}
	if again := d.want(edit(d.id(2), 0, testRow("chat", 2)), errs.Conflict); again.Row.Priority != 1 {
		t.Fatalf("a resent conflict returns another result: %+v", again.Row)
	}
	d.want(edit(d.id(1), 0, testRow("chat", 9)), errs.KeyReused)
	d.want(edit(uuid.New(), 2, testRow("chat", 9)), errs.InvalidArgument)
	d.want(edit(d.id(5), 2, table.Row{Name: "chat"}), errs.InvalidArgument)
	d.want(edit(idAt(d.now.Add(-25*time.Hour), 6), 2, testRow("chat", 9)), errs.KeyExpired)
	d.want(edit(idAt(d.now.Add(6*time.Minute), 7), 2, testRow("chat", 9)), errs.KeyExpired)
	if row, _ := d.m.Table().Row("chat"); row.Version != 2 || row.Priority != 3 {
		t.Fatalf("row %+v", row)
	}
}

// TestDryRunEditChangesNothing guards against a dry run that changes the table or uses up the edit id.
func TestDryRunEditChangesNothing(t *testing.T) {
	d := newDriver(t)
	dryRun := edit(d.id(1), 0, testRow("chat", 1))
	dryRun.EditRow.DryRun = true
	if res := d.want(dryRun, ""); res.Row.Version != 1 {
		t.Fatalf("dry run: %+v", res)
	}
	if d.m.Table().Version() != 0 {
		t.Fatal("the dry run changed the table")
	}
	submitted := *dryRun.EditRow
	submitted.DryRun = false
	if res := d.want(Command{EditRow: &submitted}, ""); res.Replayed {
		t.Fatal("the edit was treated as a resend of its dry run")
	}
}

// TestRecreatedRowContinuesVersions guards against versions that start again at 1 when a row is deleted and created
// again.
func TestRecreatedRowContinuesVersions(t *testing.T) {
	d := newDriver(t)
	d.want(edit(d.id(1), 0, table.Row{Name: "chat", Deleted: true}), errs.NotFound)
	d.want(edit(d.id(2), 0, testRow("chat", 1)), "")
	d.want(edit(d.id(3), 1, table.Row{Name: "chat", Deleted: true}), "")
	if _, ok := d.m.Table().Row("chat"); ok {
		t.Fatal("the deleted row is found")
	}
	if res := d.want(edit(d.id(4), 0, testRow("chat", 5)), ""); res.Row.Version != 3 {
		t.Fatalf("new row: %+v", res.Row)
	}
	h := d.m.History("chat", 0)
	if len(h) != 3 || !h[1].After.Deleted || !h[0].Before.Deleted || len(h[0].Changes) == 0 {
		t.Fatalf("history: %+v", h)
	}
}

// TestHistoryIsBounded guards against memory that grows with the number of edits, and edit records that are dropped
// while their ids are still accepted.
func TestHistoryIsBounded(t *testing.T) {
	d := newDriver(t)
	for i := range uint64(maxHistoryEntries + 20) {
		d.want(edit(d.id(i+1), i, testRow("chat", int(i))), "")
	}
	h := d.m.History("chat", 0)
	if len(h) != maxHistoryEntries || h[len(h)-1].Before.Version == 0 {
		t.Fatalf("%d entries, oldest before version %d", len(h), h[len(h)-1].Before.Version)
	}
	old := d.id(1)
	d.now = d.now.Add(recordRetention + time.Second)
	d.want(edit(d.id(0xffff), maxHistoryEntries+20, testRow("chat", -1)), "")
	d.want(edit(d.id(0xfffe), maxHistoryEntries+21, testRow("chat", -2)), "")
	if n := len(d.m.state.edits.order); n > 3 {
		t.Fatalf("%d edit records are kept past the retention", n)
	}
	d.want(edit(old, 0, testRow("chat", 0)), errs.KeyExpired)
}

// TestDroppedRecordIDIsRejected guards against an id that is accepted again after its record was dropped because of
// the record limit.
func TestDroppedRecordIDIsRejected(t *testing.T) {
	r := newRecords[int](3)
	for i := range uint64(5) {
		r.put(idAt(testStart, i+1), new(int))
		r.prune(testStart, nil)
	}
	for i := range uint64(5) {
		_, kept := r.byID[idAt(testStart, i+1)]
		_, admitted := r.checkID(idAt(testStart, i+1), testStart)
		if kept != (i >= 2) || admitted != kept {
			t.Errorf("record %d: kept %v, admitted %v", i, kept, admitted)
		}
	}
}

func begin(key, attempt uuid.UUID, vm api.VMID) Command {
	return Command{BeginCall: &BeginCall{Key: key, Row: "booking", Digest: 7, Attempt: attempt, VM: vm, Incarnation: 1}}
}

func finish(key, attempt uuid.UUID, state CallState, answer string) Command {
	f := &FinishCall{Key: key, Row: "booking", Attempt: attempt, State: state}
	if answer != "" {
		f.Answer = &CallResponse{Status: 200, Body: []byte(answer)}
	}
	return Command{FinishCall: f}
}

func (d *driver) wantCall(c Command, state CallState) *CallRecord {
	d.t.Helper()
	res := d.want(c, "")
	if res.Call == nil || res.Call.State != state {
		d.t.Fatalf("call %+v, want state %s", res.Call, state)
	}
	return res.Call
}

// TestCallIsGrantedToOneAttempt guards against a non-idempotent call that runs twice.
func TestCallIsGrantedToOneAttempt(t *testing.T) {
	d := newDriver(t)
	key, a, b := d.id(1), uuid.New(), uuid.New()
	d.wantCall(begin(key, a, "one"), CallGranted)
	d.wantCall(begin(key, a, "one"), CallGranted)
	d.wantCall(begin(key, b, "two"), CallInProgress)
	other := begin(key, b, "two")
	other.BeginCall.Digest = 8
	d.want(other, errs.KeyReused)
	d.want(finish(key, b, CallNotRun, ""), errs.Conflict)
	d.wantCall(finish(key, a, CallNotRun, ""), CallNotRun)
	d.wantCall(begin(key, b, "two"), CallGranted)
	d.wantCall(finish(key, a, CallNotRun, ""), CallNotRun) // a delayed copy
	d.wantCall(begin(key, a, "one"), CallInProgress)       // a delayed copy
	if rec := d.wantCall(finish(key, b, CallFinished, "booked"), CallFinished); string(rec.Answer.Body) != "booked" {
		t.Fatalf("response %+v", rec.Answer)
	}
	d.wantCall(finish(key, b, CallFinished, "other"), CallFinished)
	if rec := d.wantCall(begin(key, a, "one"), CallFinished); string(rec.Answer.Body) != "booked" {
		t.Fatalf("response to a resend %+v", rec.Answer)
	}
	d.want(finish(d.id(2), a, CallFinished, ""), errs.NotFound)
	d.want(finish(key, b, CallFinished, string(make([]byte, maxResponseBytes+1))), errs.PayloadTooLarge)
	d.want(begin(idAt(d.now.Add(-25*time.Hour), 1), a, "one"), errs.KeyExpired)
	d.want(begin(idAt(d.now.Add(6*time.Minute), 1), a, "one"), errs.KeyExpired)
}

// TestDelayedBeginCallAfterNotRunIsNotGranted guards against a key that is granted to an attempt that has already
// ended as not run: nothing would ever finish the call.
func TestDelayedBeginCallAfterNotRunIsNotGranted(t *testing.T) {
	d := newDriver(t)
	key, a := d.id(1), uuid.New()
	d.wantCall(begin(key, a, "one"), CallGranted)
	d.wantCall(finish(key, a, CallNotRun, ""), CallNotRun)
	d.wantCall(begin(key, a, "one"), CallNotRun)
	d.wantCall(begin(key, uuid.New(), "two"), CallGranted)
}

// TestNotRunReportsWaitingAttempt guards against a caller that is told "not run" while another attempt waits for the
// key and will run the call next.
func TestNotRunReportsWaitingAttempt(t *testing.T) {
	d := newDriver(t)
	key, a, b := d.id(1), uuid.New(), uuid.New()
	d.wantCall(begin(key, a, "one"), CallGranted)
	d.wantCall(begin(key, a, "one"), CallGranted)
	d.wantCall(begin(key, b, "two"), CallInProgress)
	if res := d.want(finish(key, a, CallNotRun, ""), ""); !res.Call.Contested {
		t.Fatal("the waiting attempt is not reported")
	}
	d.wantCall(begin(key, b, "two"), CallGranted)
	if res := d.want(finish(key, b, CallNotRun, ""), ""); res.Call.Contested {
		t.Fatal("a waiting attempt is reported although there is none")
	}
}

// TestVMLostMakesCallUnknown guards against a call that runs again although the lost VM may already have run it.
func TestVMLostMakesCallUnknown(t *testing.T) {
	d := newDriver(t)
	key, a := d.id(1), uuid.New()
	d.wantCall(begin(key, a, "one"), CallGranted)
	if res := d.want(Command{VMLost: &VMLost{VM: "one", Incarnation: 1}}, ""); res.Count != 1 {
		t.Fatalf("%d calls became unknown", res.Count)
	}
	d.wantCall(begin(key, a, "one"), CallUnknown)
	d.wantCall(begin(key, uuid.New(), "two"), CallUnknown)
	d.wantCall(finish(key, a, CallNotRun, ""), CallUnknown)
	d.wantCall(finish(key, a, CallFinished, "booked"), CallFinished)
	d.wantCall(finish(key, a, CallUnknown, ""), CallFinished)
}

// TestStoredResponsesAreBounded guards against memory that grows with the size of the responses.
func TestStoredResponsesAreBounded(t *testing.T) {
	d := newDriver(t)
	big := string(make([]byte, maxResponseBytes))
	n := uint64(maxTotalResponseBytes/maxResponseBytes + 3)
	for i := range n {
		a := uuid.New()
		d.wantCall(begin(d.id(i+1), a, "one"), CallGranted)
		d.wantCall(finish(d.id(i+1), a, CallFinished, big), CallFinished)
	}
	if d.m.state.calls.storedBytes > maxTotalResponseBytes {
		t.Fatalf("%d bytes of responses are kept", d.m.state.calls.storedBytes)
	}
	if rec := d.wantCall(begin(d.id(1), uuid.New(), "two"), CallFinished); rec.Answer != nil {
		t.Fatal("the oldest response is kept")
	}
	if rec := d.wantCall(begin(d.id(n), uuid.New(), "two"), CallFinished); rec.Answer == nil {
		t.Fatal("the newest response is dropped")
	}
}

// TestPublishWeightsNeverDecreasesVersion guards against weight versions that decrease, and wrong publication times.
func TestPublishWeightsNeverDecreasesVersion(t *testing.T) {
	d := newDriver(t)
	publish := func(v api.WeightVersion) api.WeightVersion {
		d.now = d.now.Add(time.Minute)
		return d.want(Command{PublishWeights: &PublishWeights{Model: "tutor", Version: v}}, "").NewestWeights
	}
	for _, tt := range []struct{ publish, newest api.WeightVersion }{{100, 100}, {101, 101}, {99, 101}, {101, 101}, {104, 104}} {
		if got := publish(tt.publish); got != tt.newest {
			t.Fatalf("after %d: newest %d, want %d", tt.publish, got, tt.newest)
		}
	}
	w := d.m.Weights("tutor")
	if at, ok := w.SuccessorTime(100); !ok || !at.Equal(testStart.Add(2*time.Minute)) {
		t.Errorf("successor of 100: %v, %v", at, ok)
	}
	if at, ok := w.SuccessorTime(102); !ok || !at.Equal(testStart.Add(5*time.Minute)) {
		t.Errorf("successor of 102: %v, %v", at, ok)
	}
	for _, v := range []api.WeightVersion{104, 98, 0} {
		if at, ok := w.SuccessorTime(v); ok {
			t.Errorf("version %d has no known successor, but got %v", v, at)
		}
	}
	if publish(1000); len(d.m.Weights("tutor").PublishTimes) != maxPublishTimes {
		t.Errorf("%d times are kept", len(d.m.Weights("tutor").PublishTimes))
	}
	one, two := d.want(Command{IssueFencingToken: &IssueFencingToken{}}, ""), d.want(Command{IssueFencingToken: &IssueFencingToken{}}, "")
	if two.FencingToken <= one.FencingToken {
		t.Errorf("tokens %d, %d", one.FencingToken, two.FencingToken)
	}
}

// TestSnapshotRoundTrip guards against state that is lost or changed by a snapshot.
func TestSnapshotRoundTrip(t *testing.T) {
	d := newDriver(t)
	d.want(edit(d.id(1), 0, testRow("chat", 1)), "")
	d.wantCall(begin(d.id(2), uuid.New(), "one"), CallGranted)
	d.openStep(1, 2, 2)
	d.want(Command{PublishWeights: &PublishWeights{Model: "tutor", Version: 3}}, "")
	data, err := d.m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewStateMachine()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil || !bytes.Equal(data, again) {
		t.Fatal("the restored state machine has another snapshot")
	}
	if !reflect.DeepEqual(restored.History("chat", 0), d.m.History("chat", 0)) || len(restored.activeOwners()) != 1 {
		t.Fatal("the restored state machine has another history or other owners")
	}
	for _, bad := range [][]byte{nil, data[:len(data)/2], {0xa1, 0x01, 0x02}} {
		if err := restored.Restore(bad); !errs.Is(err, errs.StorageCorrupt) {
			t.Errorf("damaged snapshot: %v", err)
		}
	}
	if again, _ = restored.Snapshot(); !bytes.Equal(data, again) {
		t.Error("a damaged snapshot changed the state")
	}
}

// TestApplyRejectsInvalidEntries guards against log entries that crash a replica.
func TestApplyRejectsInvalidEntries(t *testing.T) {
	m := NewStateMachine()
	if out := m.Apply(1, nil); out != nil {
		t.Fatalf("entry without data: %x", out)
	}
	for i, data := range [][]byte{{0xff}, {0xa0}, []byte("text"), bytes.Repeat([]byte{0x81}, 100)} {
		res, err := DecodeResult(m.Apply(uint64(i+2), data))
		if err != nil || res.ErrorKind != string(errs.InvalidArgument) {
			t.Errorf("entry %x: %+v, %v", data, res, err)
		}
	}
	if res, err := DecodeResult(m.Apply(2, nil)); err != nil || res.ErrorKind != string(errs.Internal) {
		t.Errorf("an entry that is applied already: %+v, %v", res, err)
	}
}
