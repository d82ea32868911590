package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"filbertledge/internal/api"
	"filbertledge/internal/config"
	"filbertledge/internal/control"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/operator"
	"filbertledge/internal/pki"
	"filbertledge/internal/table"
	"filbertledge/internal/transport"
)

// fakeControl replaces the control replicas by a single state machine behind a lock, without consensus.
type fakeControl struct {
	*control.StateMachine
	mu    sync.Mutex
	index uint64
	vms   []api.VM
	// lostResponses is the number of following calls of Do that fail with an unknown outcome after the command was
	// applied.
	lostResponses atomic.Int64
	pendingVMs    atomic.Pointer[[]api.VM] // returned by Propagation
}

func (s *fakeControl) Do(_ context.Context, c control.Command) (control.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.ProposedAt = time.Now()
	data, err := control.EncodeCommand(c)
	if err != nil {
		return control.Result{}, err
	}
	s.index++
	result, err := control.DecodeResult(s.Apply(s.index, data))
	if err != nil {
		return result, err
	}
	if s.lostResponses.Add(-1) >= 0 {
		return control.Result{}, errs.New(errs.OutcomeUnknown, "send it again", "the response was lost")
	}
	return result, result.Err()
}

func (s *fakeControl) TableLeaseValid() bool { return true }

func (s *fakeControl) VMs() []api.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.vms)
}

func (s *fakeControl) addVM(vm api.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append(s.vms, vm)
}

func (s *fakeControl) Step(_ context.Context, id control.StepID) (control.StepView, error) {
	view, ok := s.StateMachine.Step(id, time.Now())
	if !ok {
		return view, errs.New(errs.NotFound, "check the number", "step %d does not exist", id.Step)
	}
	return view, nil
}

func (s *fakeControl) History(_ context.Context, row api.RowName, limit int) ([]control.RowChange, error) {
	return s.StateMachine.History(row, limit), nil
}

func (s *fakeControl) Calls(_ context.Context, q control.CallsRequest) ([]control.CallView, error) {
	if view, ok := s.StateMachine.Call(q.Key); ok {
		return []control.CallView{view}, nil
	}
	return nil, nil
}

func (s *fakeControl) Steps(context.Context, api.RowName) ([]control.StepView, error) {
	return s.StateMachine.Steps(time.Now()), nil
}

func (s *fakeControl) Propagation(context.Context, uint64) ([]api.VM, error) {
	if list := s.pendingVMs.Load(); list != nil {
		return *list, nil
	}
	return nil, nil
}

// testVM is one VM of a testDeployment.
type testVM struct {
	addr     string
	recorder *events.Recorder
	drained  atomic.Bool
	status   atomic.Pointer[operator.Status]
	stop     func()
}

// testDeployment is a deployment whose VMs serve the operator API on loopback addresses.
type testDeployment struct {
	t       *testing.T
	keys    string
	control *fakeControl
	vms     []*testVM
}

func newTestDeployment(t *testing.T, vms int) *testDeployment {
	t.Helper()
	d := &testDeployment{t: t, keys: t.TempDir(), control: &fakeControl{StateMachine: control.NewStateMachine()}}
	ca, err := pki.Init(d.keys, "test")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ca.Issue(pki.Request{Name: "ilona", Role: pki.RoleOperator}); err != nil {
		t.Fatal(err)
	}
	for i := range vms {
		d.start(ca, "vm-"+string(rune('a'+i)))
	}
	return d
}

func (d *testDeployment) start(ca *pki.Authority, name string) {
	d.t.Helper()
	files, err := ca.Issue(pki.Request{Name: name, Role: pki.RoleVM, IPs: []net.IP{net.IPv4(127, 0, 0, 1)}})
	if err != nil {
		d.t.Fatal(err)
	}
	source, err := pki.NewTLSSource(files, pki.TLSSourceOptions{})
	if err != nil {
		d.t.Fatal(err)
	}
	server, err := transport.NewServer(transport.ServerOptions{Address: "127.0.0.1:0", Identity: source})
	if err != nil {
		d.t.Fatal(err)
	}
	peers, err := transport.NewClient(transport.ClientOptions{Identity: source})
	if err != nil {
		d.t.Fatal(err)
	}
	vm := &testVM{addr: server.Addr(), recorder: events.NewRecorder(api.VMID(name), io.Discard)}
	self := api.VM{ID: api.VMID(name), Address: vm.addr}
	d.control.addVM(self)
	operator.Register(server, operator.Options{
		VM: self.ID, Control: d.control, Records: d.control, Events: vm.recorder, Peers: peers, Propagation: d.control.Propagation,
		Servers: func() []operator.ServerView {
			return []operator.ServerView{{ID: "s-2", Pool: "p", State: api.ServerLeaving}, {ID: "s-1", Pool: "q", State: api.ServerServing, Usable: true}}
		},
		Status: func() operator.Status {
			var status operator.Status
			if set := vm.status.Load(); set != nil {
				status = *set
			}
			status.VM, status.VMs = self, d.control.VMs()
			return status
		},
		Drain:    func() { vm.drained.Store(true) },
		Shutdown: func() {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx) }()
	vm.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			d.t.Error(err)
		}
		peers.Close()
	})
	d.t.Cleanup(vm.stop)
	d.vms = append(d.vms, vm)
}

// run executes a command with the operator certificate of ilona.
func (d *testDeployment) run(args ...string) (code int, stdout, stderr string) {
	d.t.Helper()
	return d.runUntil(context.Background(), args...)
}

// runUntil executes a command whose context is ctx.
func (d *testDeployment) runUntil(ctx context.Context, args ...string) (code int, stdout, stderr string) {
	d.t.Helper()
	var servers []string
	for _, vm := range d.vms {
		servers = append(servers, vm.addr)
	}
	files := pki.LeafFiles(d.keys, "ilona")
	all := append([]string{"--server", strings.Join(servers, ","), "--ca", files.CA, "--cert", files.Cert, "--key", files.Key, "--timeout", "10s"}, args...)
	var out, log bytes.Buffer
	code = Run(ctx, Options{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &log}, all)
	return code, out.String(), log.String()
}

// mustRun executes a command that must succeed.
func (d *testDeployment) mustRun(args ...string) (stdout string) {
	d.t.Helper()
	code, stdout, stderr := d.run(args...)
	if code != errs.ExitOK {
		d.t.Fatalf("%v: exit code %d\n%s%s", args, code, stdout, stderr)
	}
	return stdout
}

// mustFail executes a command that must fail with the exit code want and with text on stdout or stderr.
func (d *testDeployment) mustFail(want int, text string, args ...string) (stderr string) {
	d.t.Helper()
	code, stdout, stderr := d.run(args...)
	if code != want || !strings.Contains(stdout+stderr, text) {
		d.t.Fatalf("%v: exit code %d, want %d and %q\n%s%s", args, code, want, text, stdout, stderr)
	}
	return stderr
}

var tokenDigest = pki.HashToken("secret")

func (d *testDeployment) createRow(name string) {
	d.t.Helper()
	d.mustRun("table", "set", name, "kind=chat", "pool=p", "model=m", "deadline=20s", "token_sha256="+tokenDigest)
}

// Guards against an edit that overwrites the edit of another operator made since the row was read, and against invalid
// edits being accepted or values being changed on the way to the table.
func TestTableSetRefusesConflictsAndKeepsValues(t *testing.T) {
	t.Parallel()
	d := newTestDeployment(t, 1)
	d.createRow("chat")
	d.mustRun("table", "set", "chat", "max_in_flight=64", "--wait")
	if out := d.mustRun("table", "get", "chat"); !regexp.MustCompile(`max_in_flight +64\n`).MatchString(out) {
		t.Fatalf("the edit is not in\n%s", out)
	}
	if out := d.mustRun("table", "set", "chat", "priority=5", "--dry-run"); !strings.Contains(out, "priority: 0 -> 5") || !strings.Contains(out, "nothing was changed") {
		t.Fatalf("dry run printed\n%s", out)
	}
	d.mustFail(errs.ExitConflict, "row chat is at version 2", "table", "set", "chat", "priority=7", "--expect-version", "1")
	d.mustFail(errs.ExitUsage, `column "max_in_flight"`, "table", "set", "chat", "max_in_flight=many")
	d.mustFail(errs.ExitUsage, `column "colour" does not exist`, "table", "set", "chat", "colour=red")
	d.mustFail(errs.ExitUsage, "cannot be renamed", "table", "set", "chat", "name=talk")
	d.mustFail(errs.ExitUsage, "nothing to change", "table", "set", "chat")
	d.mustFail(errs.ExitNotFound, `row "talk" does not exist`, "table", "get", "talk")
	d.mustFail(errs.ExitNotFound, `row "talk" does not exist`, "table", "set", "talk", "--delete")
	if out := d.mustRun("table", "history", "chat"); !strings.Contains(out, "ilona") || !strings.Contains(out, "max_in_flight: 0 -> 64") {
		t.Fatalf("history is\n%s", out)
	}
	d.mustRun("table", "set", "chat", "--delete")
	d.mustFail(errs.ExitNotFound, "does not exist", "table", "get", "chat")
	d.createRow("chat")
}

var resendFlags = regexp.MustCompile(`--edit-id (\S+) --expect-version (\d+)`)

// Guards against an edit being applied twice or not at all when its response is lost and it is sent again.
func TestResentEditIsAppliedOnce(t *testing.T) {
	t.Parallel()
	d := newTestDeployment(t, 1)
	d.createRow("chat")
	// The command itself sends the edit again with the same edit id.
	d.control.lostResponses.Store(1)
	if out := d.mustRun("table", "set", "chat", "priority=1"); !strings.Contains(out, "accepted before, as version 2") {
		t.Fatalf("after a lost response:\n%s", out)
	}
	// All responses are lost: the operator resends the edit after another edit has been accepted.
	d.control.lostResponses.Store(1 << 30)
	stderr := d.mustFail(errs.ExitOutcomeUnknown, "may have been accepted", "table", "set", "chat", "priority=2", "--timeout", "3s")
	hint := resendFlags.FindStringSubmatch(stderr)
	if hint == nil {
		t.Fatalf("no hint how to resend in\n%s", stderr)
	}
	d.control.lostResponses.Store(0)
	d.mustRun("table", "set", "chat", "max_in_flight=9")
	out := d.mustRun("table", "set", "chat", "priority=2", "--edit-id", hint[1], "--expect-version", hint[2])
	if !strings.Contains(out, "accepted before, as version 3") {
		t.Fatalf("resent edit:\n%s", out)
	}
	row, _ := d.control.Table().Row("chat")
	if row.Version != 4 || row.Priority != 2 || row.MaxInFlight != 9 {
		t.Fatalf("row is %+v", row)
	}
	// An edit that never reached the state machine is made when it is resent.
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	d.mustRun("table", "set", "chat", "priority=3", "--edit-id", id.String(), "--expect-version", "4")
	d.mustFail(errs.ExitUsage, "is not an edit id", "table", "set", "chat", "priority=3", "--edit-id", "12")
}

// Guards against --wait succeeding while a VM still uses an older table, and against an error that does not name that
// VM.
func TestWaitNamesVMsWithOlderTable(t *testing.T) {
	t.Parallel()
	d := newTestDeployment(t, 1)
	d.control.pendingVMs.Store(&[]api.VM{{ID: "bekes-a-2"}})
	d.mustFail(errs.ExitUnavailable, "not yet in force on bekes-a-2",
		"table", "set", "chat", "kind=chat", "pool=p", "model=m", "deadline=20s", "token_sha256="+tokenDigest, "--wait", "--timeout", "3s")
	if _, ok := d.control.Table().Row("chat"); !ok {
		t.Fatal("the edit was not accepted")
	}
}

// Guards against an import that overwrites rows that changed since the export, and against one that skips the remaining
// rows after a refused row.
func TestImportRefusesRowsChangedSinceExport(t *testing.T) {
	t.Parallel()
	d := newTestDeployment(t, 1)
	d.createRow("chat")
	d.createRow("talk")
	file := filepath.Join(t.TempDir(), "table.csv")
	d.mustRun("table", "export", "--file", file)
	if out := d.mustRun("table", "diff", file); !strings.Contains(out, "0 row(s) differ") {
		t.Fatalf("export differs from the table:\n%s", out)
	}
	edit := func(old, replacement string) {
		t.Helper()
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(strings.ReplaceAll(string(data), old, replacement)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	edit("20s", "30s")
	if out := d.mustRun("table", "import", file, "--dry-run"); !strings.Contains(out, "2 row(s) would be applied") {
		t.Fatalf("dry run:\n%s", out)
	}
	d.mustRun("table", "set", "chat", "priority=9")
	d.mustFail(errs.ExitConflict, "1 row(s) applied, 1 refused", "table", "import", file)
	talk, _ := d.control.Table().Row("talk")
	chat, _ := d.control.Table().Row("chat")
	if talk.Deadline != 30*time.Second || chat.Deadline != 20*time.Second || chat.Priority != 9 {
		t.Fatalf("rows are %+v and %+v", talk, chat)
	}
	edit("30s", "soon")
	d.mustFail(errs.ExitUsage, `line 2: row "chat", column "deadline", value "soon"`, "table", "import", file)
	d.mustFail(errs.ExitUsage, "absent.csv", "table", "import", "absent.csv")

	// Without the column version the import is based on the current rows of the table.
	if err := os.WriteFile(file, []byte("name,priority\nchat,11\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	d.mustRun("table", "import", file, "--wait")
	if row, _ := d.control.Table().Row("chat"); row.Priority != 11 || row.Deadline != 20*time.Second {
		t.Fatalf("row is %+v", row)
	}
}

// Guards against a timeline that does not say which VMs are missing, against a command that fails because one VM does
// not respond, and against text from callers that is interpreted by the terminal or as HTML.
func TestTimelineNamesVMsThatDoNotAnswer(t *testing.T) {
	t.Parallel()
	d := newTestDeployment(t, 3)
	id := uuid.NewString()
	d.vms[0].recorder.Record(events.Event{Name: events.RequestReceived, Request: id, Row: "chat"})
	d.vms[1].recorder.Record(events.Event{Name: events.RequestDispatched, Request: id, Row: "chat", Server: "s-1", Detail: "<script>alert(1)</script>\x1b[2J"})
	d.vms[2].recorder.Record(events.Event{Name: events.ServerAnnounced, Server: "s-1"})
	if out := d.mustRun("timeline"); strings.Index(out, "request.received") > strings.Index(out, "request.dispatched") || !strings.Contains(out, "3 event(s) of 3 VM(s)") {
		t.Fatalf("timeline is\n%s", out)
	}
	if out := d.mustRun("timeline", "--backend", "s-1"); strings.Contains(out, "request.received") || strings.Contains(out, "\x1b") {
		t.Fatalf("filtered timeline is\n%q", out)
	}
	if out := d.mustRun("requests", "show", id); !strings.Contains(out, "request.dispatched") || strings.Contains(out, "server.announced") {
		t.Fatalf("request is\n%s", out)
	}
	d.mustFail(errs.ExitNotFound, "no VM has events", "requests", "show", "absent")

	page := filepath.Join(t.TempDir(), "timeline.html")
	d.mustRun("timeline", "--html", page)
	html, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{"<script>alert", "ZgotmplZ", "http://", "https://", "src=", "@import"} {
		if bytes.Contains(html, []byte(bad)) {
			t.Errorf("the page contains %q", bad)
		}
	}
	if !bytes.Contains(html, []byte("&lt;script&gt;alert(1)")) || bytes.Count(html, []byte(`<tr id="e`)) != 3 {
		t.Errorf("the page lacks events:\n%s", html)
	}

	// The first VM has stopped: another one responds and names the stopped VM.
	d.vms[0].stop()
	_, out, stderr := d.run("timeline")
	if !strings.Contains(stderr, "VM vm-a ("+d.vms[0].addr+") did not answer") || !strings.Contains(out, "2 event(s) of 2 VM(s)") {
		t.Fatalf("timeline without vm-a is\n%s%s", out, stderr)
	}
}

// Guards against commands that lose fields of a response or drain the wrong VM.
func TestStatusServersAndDrain(t *testing.T) {
	t.Parallel()
	d := newTestDeployment(t, 2)
	var status operator.Status
	if err := json.Unmarshal([]byte(d.mustRun("status", "-o", "json")), &status); err != nil || status.VM.ID != "vm-a" || len(status.VMs) != 2 {
		t.Fatalf("status %+v, %v", status, err)
	}
	if out := d.mustRun("status"); !strings.Contains(out, "vm-b") {
		t.Fatalf("status is\n%s", out)
	}
	if out := d.mustRun("servers", "--pool", "p"); !strings.Contains(out, "leaving") || strings.Contains(out, "s-1") {
		t.Fatalf("servers are\n%s", out)
	}
	d.mustFail(errs.ExitNotFound, `VM "vm-z" is not known`, "drain", "vm-z")
	d.mustRun("drain", "vm-b")
	if d.vms[0].drained.Load() || !d.vms[1].drained.Load() {
		t.Fatal("the wrong VM is draining")
	}
	d.mustFail(errs.ExitNotFound, "step 4 does not exist", "samples", "chat", "4")
	d.mustRun("samples")
}

// Guards against timeline --watch printing events twice or missing new ones, and against --watch running on after the
// context has ended or after an error that cannot go away.
func TestWatchShowsEachEventOnce(t *testing.T) {
	t.Parallel()
	d := newTestDeployment(t, 2)
	d.vms[0].recorder.Record(events.Event{Name: events.VMStarted})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(500*time.Millisecond, func() { d.vms[1].recorder.Record(events.Event{Name: events.VMReady, Detail: "late"}) })
	time.AfterFunc(4*time.Second, cancel)
	code, out, stderr := d.runUntil(ctx, "timeline", "--watch")
	if code != errs.ExitOK || strings.Count(out, "vm.started") != 1 || strings.Count(out, "late") != 1 {
		t.Fatalf("exit code %d\n%s%s", code, out, stderr)
	}
	ctx, cancel = context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	if code, out, _ := d.runUntil(ctx, "status", "--watch"); code != errs.ExitOK || strings.Count(out, "failure domain") < 2 {
		t.Fatalf("exit code %d\n%s", code, out)
	}
	vm := pki.LeafFiles(d.keys, "vm-a")
	d.mustFail(errs.ExitDenied, "may not call", "--cert", vm.Cert, "--key", vm.Key, "status", "--watch")
	d.mustFail(errs.ExitDenied, "may not call", "--cert", vm.Cert, "--key", vm.Key, "timeline", "--watch")
}

// Guards against drain --watch ending while the VM is still running, or not noticing that it has stopped.
func TestDrainWatchEndsWhenVMStops(t *testing.T) {
	t.Parallel()
	d := newTestDeployment(t, 1)
	d.vms[0].status.Store(&operator.Status{Running: 3})
	time.AfterFunc(1500*time.Millisecond, d.vms[0].stop)
	_, _, stderr := d.run("drain", "--watch")
	if !strings.Contains(stderr, "3 running, 0 queued") || !strings.Contains(stderr, "has stopped") {
		t.Fatal(stderr)
	}
}

// Guards against a status that omits warnings, the state of the VM or the state of its control replica.
func TestStatusShowsVMAndReplicaState(t *testing.T) {
	t.Parallel()
	d := newTestDeployment(t, 1)
	s := operator.Status{Warnings: []string{"one replica"}}
	s.Replica = &operator.ReplicaStatus{Role: "leader", Term: 4, Members: []operator.MemberView{{ID: 0xabc, VM: "vm-a", Voter: true}, {ID: 0xdef, VM: "vm-z"}}}
	for _, state := range []struct {
		ready, draining bool
		want            string
	}{{false, false, "not ready"}, {true, false, "ready"}, {true, true, "draining"}} {
		s.Ready, s.Draining = state.ready, state.draining
		copied := s
		d.vms[0].status.Store(&copied)
		out := d.mustRun("status")
		for _, want := range []string{state.want, "warning: one replica", "leader, term 4", "abc", "learner"} {
			if !strings.Contains(out, want) {
				t.Errorf("%q is not in\n%s", want, out)
			}
		}
	}
}

// Guards against steps, samples or call records that are missing from the output or formatted wrongly.
func TestSamplesAndCallRecordsAreShown(t *testing.T) {
	t.Parallel()
	d := newTestDeployment(t, 1)
	d.mustRun("table", "set", "tutor", "kind=rollout", "pool=p", "model=m", "deadline=33m", "token_sha256="+tokenDigest)
	step := control.StepID{Row: "tutor", Step: 7}
	sample := control.SampleID{Step: step, Group: "g-1", Member: 0}
	key, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	attempt := uuid.New()
	for _, c := range []control.Command{
		{OpenStep: &control.OpenStep{ID: step, Deadline: time.Hour, Groups: 1, GroupSize: 1}},
		{SubmitGroups: &control.SubmitGroups{Step: step, VM: "vm-a", Groups: []control.Group{{ID: "g-1", Step: step, Size: 1, Prompt: []byte("{}")}}}},
		{FinishSample: &control.FinishSample{ID: sample, Attempt: 1, VM: "vm-a", Versions: []api.WeightVersion{6, 7}}},
		{BeginCall: &control.BeginCall{Key: key, Row: "tutor", Attempt: attempt, VM: "vm-a"}},
		{FinishCall: &control.FinishCall{Key: key, Row: "tutor", Attempt: attempt, State: control.CallFinished, Answer: &control.CallResponse{Status: 201, ContentType: "text/plain", Body: []byte("done")}}},
	} {
		if _, err := d.control.Do(context.Background(), c); err != nil {
			t.Fatal(err)
		}
	}
	if out := d.mustRun("samples"); !regexp.MustCompile(`tutor +7 +open`).MatchString(out) {
		t.Errorf("steps are\n%s", out)
	}
	if out := d.mustRun("samples", "tutor", "7"); !regexp.MustCompile(`g-1 +0 +1 +vm-a +6,7`).MatchString(out) {
		t.Errorf("step is\n%s", out)
	}
	d.mustFail(errs.ExitUsage, "is not a step", "samples", "tutor", "seven")
	if out := d.mustRun("requests", "show", key.String()); !strings.Contains(out, "status 201, 4 bytes of text/plain") {
		t.Errorf("call is\n%s", out)
	}
}

// Guards against a server error that is reported as an invalid command line, and against warnings that are not written
// as JSON log lines.
func TestServeExitCodesAndJSONWarnings(t *testing.T) {
	t.Parallel()
	paths, err := config.Write(t.TempDir(), config.Deployment{VMs: []config.DeploymentVM{{
		Name: "vm-a", FailureDomain: "a", Replica: true, Listen: config.DefaultPorts.ListenAddresses(netip.MustParseAddr("127.0.0.1"), 0),
	}}})
	if err != nil {
		t.Fatal(err)
	}
	for want, failure := range map[int]error{
		errs.ExitOK: nil, errs.ExitInternal: errors.New("broken"), errs.ExitStorage: errs.New(errs.StorageFailed, "", "disk"),
	} {
		var log bytes.Buffer
		got := Run(context.Background(), Options{Stdout: io.Discard, Stderr: &log, Serve: func(_ context.Context, c *config.Config) error {
			if c.VM.Name != "vm-a" {
				t.Errorf("VM is %q", c.VM.Name)
			}
			return failure
		}}, []string{"serve", "--config", paths[0]})
		line, _, _ := strings.Cut(log.String(), "\n")
		if got != want || !json.Valid([]byte(line)) || !strings.Contains(line, "one replica") {
			t.Errorf("exit code %d, want %d\n%s", got, want, log.String())
		}
	}
}

// Guards against operator commands being accepted with the certificate of a VM.
func TestOperatorRoleIsRequired(t *testing.T) {
	t.Parallel()
	d := newTestDeployment(t, 1)
	vm := pki.LeafFiles(d.keys, "vm-a")
	d.mustFail(errs.ExitDenied, "may not call operator.table", "--cert", vm.Cert, "--key", vm.Key, "table", "get")
	stderr := d.mustFail(errs.ExitDenied, "permission_denied", "--cert", vm.Cert, "--key", vm.Key, "table", "get", "-o", "json")
	var e jsonError
	if err := json.Unmarshal([]byte(stderr), &e); err != nil || e.Remedy == "" {
		t.Fatalf("error in JSON: %q, %v", stderr, err)
	}
}

var _ control.Client = (*fakeControl)(nil)

// Guards against values printed by table get that table set rejects or reads differently.
func TestRowValuesRoundTripThroughSet(t *testing.T) {
	t.Parallel()
	row := table.Row{
		Name: "r", Kind: table.KindRollout, Pool: "p", Model: "m", Weights: table.WeightVersionRange{Min: 3, Max: 9}, MaxStalenessVersions: 2,
		MaxStalenessTime: 17 * time.Minute, MaxInFlight: 5, Priority: -1, Deadline: 33 * time.Minute, RefusalBudget: 4, TokenSHA256: tokenDigest,
	}
	var assignments []string
	for column, value := range columnValues(row) {
		if column != "version" {
			assignments = append(assignments, column+"="+value)
		}
	}
	got, err := applyAssignments(table.Row{}, "r", assignments, false)
	if err != nil || got != row {
		t.Fatalf("got %+v, %v", got, err)
	}
}
