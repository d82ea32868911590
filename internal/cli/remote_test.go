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

// sharedControl is the control state of a deployment without agreement: the real state machine behind a lock.
type sharedControl struct {
	*control.StateMachine
	mu    sync.Mutex
	index uint64
	vms   []api.VM
	// lose makes the next answers of Do get lost after the command was applied.
	lose    atomic.Int64
	missing atomic.Pointer[[]api.VM] // what Reach returns
}

func (s *sharedControl) Do(_ context.Context, c control.Command) (control.Result, error) {
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
	if s.lose.Add(-1) >= 0 {
		return control.Result{}, errs.New(errs.OutcomeUnknown, "send it again", "the answer was lost")
	}
	return result, result.Err()
}

func (s *sharedControl) TableLeaseValid() bool { return true }

func (s *sharedControl) VMs() []api.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.vms)
}

func (s *sharedControl) addVM(vm api.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append(s.vms, vm)
}

func (s *sharedControl) Step(_ context.Context, id control.StepID) (control.StepView, error) {
	view, ok := s.StateMachine.Step(id, time.Now())
	if !ok {
		return view, errs.New(errs.NotFound, "check the number", "step %d does not exist", id.Step)
	}
	return view, nil
}

func (s *sharedControl) History(_ context.Context, row api.RowName, limit int) ([]control.RowChange, error) {
	return s.StateMachine.History(row, limit), nil
}

func (s *sharedControl) Calls(_ context.Context, q control.CallsRequest) ([]control.CallView, error) {
	if view, ok := s.StateMachine.Call(q.Key); ok {
		return []control.CallView{view}, nil
	}
	return nil, nil
}

func (s *sharedControl) Steps(context.Context, api.RowName) ([]control.StepView, error) {
	return s.StateMachine.Steps(time.Now()), nil
}

func (s *sharedControl) Reach(context.Context, uint64) ([]api.VM, error) {
	if list := s.missing.Load(); list != nil {
		return *list, nil
	}
	return nil, nil
}

// testVM is one VM of a test deployment.
type testVM struct {
	addr     string
	recorder *events.Recorder
	drained  atomic.Bool
	status   atomic.Pointer[operator.Status]
	stop     func()
}

// testDeployment runs VMs that offer the operator API on loopback.
type testDeployment struct {
	t       *testing.T
	keys    string
	control *sharedControl
	vms     []*testVM
}

func newTestDeployment(t *testing.T, vms int) *testDeployment {
	t.Helper()
	d := &testDeployment{t: t, keys: t.TempDir(), control: &sharedControl{StateMachine: control.NewStateMachine()}}
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
		VM: self.ID, Control: d.control, Records: d.control, Events: vm.recorder, Peers: peers, Propagation: d.control.Reach,
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

// run runs a command as the operator ilona.
func (d *testDeployment) run(args ...string) (code int, stdout, stderr string) {
	d.t.Helper()
	return d.runUntil(context.Background(), args...)
}

// runUntil runs a command that ends with ctx at the latest.
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

// must runs a command that has to succeed.
func (d *testDeployment) must(args ...string) (stdout string) {
	d.t.Helper()
	code, stdout, stderr := d.run(args...)
	if code != errs.ExitOK {
		d.t.Fatalf("%v: exit code %d\n%s%s", args, code, stdout, stderr)
	}
	return stdout
}

// fails runs a command that has to fail with an exit code and a text on stdout or stderr.
func (d *testDeployment) fails(want int, text string, args ...string) (stderr string) {
	d.t.Helper()
	code, stdout, stderr := d.run(args...)
	if code != want || !strings.Contains(stdout+stderr, text) {
		d.t.Fatalf("%v: exit code %d, want %d and %q\n%s%s", args, code, want, text, stdout, stderr)
	}
	return stderr
}

var digest = pki.HashToken("secret")

func (d *testDeployment) createRow(name string) {
	d.t.Helper()
	d.must("table", "set", name, "kind=chat", "pool=p", "model=m", "deadline=20s", "token_sha256="+digest)
}

// Guards against edits that overwrite an edit of another operator, and rows that come out differently.
func TestTableSet(t *testing.T) {
	t.Parallel()
	d := newTestDeployment(t, 1)
	d.createRow("chat")
	d.must("table", "set", "chat", "max_in_flight=64", "--wait")
	if out := d.must("table", "get", "chat"); !regexp.MustCompile(`max_in_flight +64\n`).MatchString(out) {
		t.Fatalf("the edit is not in\n%s", out)
	}
	if out := d.must("table", "set", "chat", "priority=5", "--dry-run"); !strings.Contains(out, "priority: 0 -> 5") || !strings.Contains(out, "nothing was changed") {
		t.Fatalf("dry run printed\n%s", out)
	}
	d.fails(errs.ExitConflict, "row chat is at version 2", "table", "set", "chat", "priority=7", "--expect-version", "1")
	d.fails(errs.ExitUsage, `column "max_in_flight"`, "table", "set", "chat", "max_in_flight=many")
	d.fails(errs.ExitUsage, `column "colour" does not exist`, "table", "set", "chat", "colour=red")
	d.fails(errs.ExitUsage, "cannot be renamed", "table", "set", "chat", "name=talk")
	d.fails(errs.ExitUsage, "nothing to change", "table", "set", "chat")
	d.fails(errs.ExitNotFound, `row "talk" does not exist`, "table", "get", "talk")
	d.fails(errs.ExitNotFound, `row "talk" does not exist`, "table", "set", "talk", "--delete")
	if out := d.must("table", "history", "chat"); !strings.Contains(out, "ilona") || !strings.Contains(out, "max_in_flight: 0 -> 64") {
		t.Fatalf("history is\n%s", out)
	}
	d.must("table", "set", "chat", "--delete")
	d.fails(errs.ExitNotFound, "does not exist", "table", "get", "chat")
	d.createRow("chat")
}

var resendHint = regexp.MustCompile(`--edit-id (\S+) --expect-version (\d+)`)

// Guards against an edit that is made twice, or lost, because its answer was lost.
func TestResentEdit(t *testing.T) {
	t.Parallel()
	d := newTestDeployment(t, 1)
	d.createRow("chat")
	// The command itself sends the edit again under the same id.
	d.control.lose.Store(1)
	if out := d.must("table", "set", "chat", "priority=1"); !strings.Contains(out, "accepted before, as version 2") {
		t.Fatalf("after a lost answer:\n%s", out)
	}
	// All answers are lost: the operator sends it again, after another edit was accepted.
	d.control.lose.Store(1 << 30)
	stderr := d.fails(errs.ExitOutcomeUnknown, "may have been accepted", "table", "set", "chat", "priority=2", "--timeout", "3s")
	hint := resendHint.FindStringSubmatch(stderr)
	if hint == nil {
		t.Fatalf("no hint how to resend in\n%s", stderr)
	}
	d.control.lose.Store(0)
	d.must("table", "set", "chat", "max_in_flight=9")
	out := d.must("table", "set", "chat", "priority=2", "--edit-id", hint[1], "--expect-version", hint[2])
	if !strings.Contains(out, "accepted before, as version 3") {
		t.Fatalf("resent edit:\n%s", out)
	}
	row, _ := d.control.Table().Row("chat")
	if row.Version != 4 || row.Priority != 2 || row.MaxInFlight != 9 {
		t.Fatalf("row is %+v", row)
	}
	// An edit that never arrived is made by the resend.
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	d.must("table", "set", "chat", "priority=3", "--edit-id", id.String(), "--expect-version", "4")
	d.fails(errs.ExitUsage, "is not an edit id", "table", "set", "chat", "priority=3", "--edit-id", "12")
}

// Guards against --wait that ends before the edit is in force, and against one that does not name the VMs.
func TestWaitNamesMissingVMs(t *testing.T) {
	t.Parallel()
	d := newTestDeployment(t, 1)
	d.control.missing.Store(&[]api.VM{{ID: "bekes-a-2"}})
	d.fails(errs.ExitUnavailable, "not yet in force on bekes-a-2",
		"table", "set", "chat", "kind=chat", "pool=p", "model=m", "deadline=20s", "token_sha256="+digest, "--wait", "--timeout", "3s")
	if _, ok := d.control.Table().Row("chat"); !ok {
		t.Fatal("the edit was not accepted")
	}
}

// Guards against an import that overwrites rows which changed since the export, or stops half-way.
func TestImportExport(t *testing.T) {
	t.Parallel()
	d := newTestDeployment(t, 1)
	d.createRow("chat")
	d.createRow("talk")
	file := filepath.Join(t.TempDir(), "table.csv")
	d.must("table", "export", "--file", file)
	if out := d.must("table", "diff", file); !strings.Contains(out, "0 row(s) differ") {
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
	if out := d.must("table", "import", file, "--dry-run"); !strings.Contains(out, "2 row(s) would be applied") {
		t.Fatalf("dry run:\n%s", out)
	}
	d.must("table", "set", "chat", "priority=9")
	d.fails(errs.ExitConflict, "1 row(s) applied, 1 refused", "table", "import", file)
	talk, _ := d.control.Table().Row("talk")
	chat, _ := d.control.Table().Row("chat")
	if talk.Deadline != 30*time.Second || chat.Deadline != 20*time.Second || chat.Priority != 9 {
		t.Fatalf("rows are %+v and %+v", talk, chat)
	}
	edit("30s", "soon")
	d.fails(errs.ExitUsage, `line 2: row "chat", column "deadline", value "soon"`, "table", "import", file)
	d.fails(errs.ExitUsage, "absent.csv", "table", "import", "absent.csv")

	// Without the column version the import starts from the table as it is.
	if err := os.WriteFile(file, []byte("name,priority\nchat,11\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	d.must("table", "import", file, "--wait")
	if row, _ := d.control.Table().Row("chat"); row.Priority != 11 || row.Deadline != 20*time.Second {
		t.Fatalf("row is %+v", row)
	}
}

// Guards against a timeline that hides that a VM did not answer, and against a command that gives up with it.
func TestTimelineOfAllVMs(t *testing.T) {
	t.Parallel()
	d := newTestDeployment(t, 3)
	id := uuid.NewString()
	d.vms[0].recorder.Record(events.Event{Name: events.RequestReceived, Request: id, Row: "chat"})
	d.vms[1].recorder.Record(events.Event{Name: events.RequestDispatched, Request: id, Row: "chat", Server: "s-1", Detail: "<script>alert(1)</script>\x1b[2J"})
	d.vms[2].recorder.Record(events.Event{Name: events.ServerAnnounced, Server: "s-1"})
	if out := d.must("timeline"); strings.Index(out, "request.received") > strings.Index(out, "request.dispatched") || !strings.Contains(out, "3 event(s) of 3 VM(s)") {
		t.Fatalf("timeline is\n%s", out)
	}
	if out := d.must("timeline", "--backend", "s-1"); strings.Contains(out, "request.received") || strings.Contains(out, "\x1b") {
		t.Fatalf("filtered timeline is\n%q", out)
	}
	if out := d.must("requests", "show", id); !strings.Contains(out, "request.dispatched") || strings.Contains(out, "server.announced") {
		t.Fatalf("request is\n%s", out)
	}
	d.fails(errs.ExitNotFound, "no VM has events", "requests", "show", "absent")

	page := filepath.Join(t.TempDir(), "timeline.html")
	d.must("timeline", "--html", page)
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

	// The first VM is gone: another one answers and names it.
	d.vms[0].stop()
	_, out, stderr := d.run("timeline")
	if !strings.Contains(stderr, "VM vm-a ("+d.vms[0].addr+") did not answer") || !strings.Contains(out, "2 event(s) of 2 VM(s)") {
		t.Fatalf("timeline without vm-a is\n%s%s", out, stderr)
	}
}

// Guards against commands that lose fields on the way or address the wrong VM.
func TestStatusServersDrain(t *testing.T) {
	t.Parallel()
	d := newTestDeployment(t, 2)
	var status operator.Status
	if err := json.Unmarshal([]byte(d.must("status", "-o", "json")), &status); err != nil || status.VM.ID != "vm-a" || len(status.VMs) != 2 {
		t.Fatalf("status %+v, %v", status, err)
	}
	if out := d.must("status"); !strings.Contains(out, "vm-b") {
		t.Fatalf("status is\n%s", out)
	}
	if out := d.must("servers", "--pool", "p"); !strings.Contains(out, "leaving") || strings.Contains(out, "s-1") {
		t.Fatalf("servers are\n%s", out)
	}
	d.fails(errs.ExitNotFound, `VM "vm-z" is not known`, "drain", "vm-z")
	d.must("drain", "vm-b")
	if d.vms[0].drained.Load() || !d.vms[1].drained.Load() {
		t.Fatal("the wrong VM is draining")
	}
	d.fails(errs.ExitNotFound, "step 4 does not exist", "samples", "chat", "4")
	d.must("samples")
}

// Guards against a watch that shows events twice or misses new ones, and against one that never ends.
func TestWatch(t *testing.T) {
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
	d.fails(errs.ExitDenied, "may not call", "--cert", vm.Cert, "--key", vm.Key, "status", "--watch")
	d.fails(errs.ExitDenied, "may not call", "--cert", vm.Cert, "--key", vm.Key, "timeline", "--watch")
}

// Guards against drain --watch that ends while the VM still runs, or does not notice its end.
func TestDrainWatch(t *testing.T) {
	t.Parallel()
	d := newTestDeployment(t, 1)
	d.vms[0].status.Store(&operator.Status{Running: 3})
	time.AfterFunc(1500*time.Millisecond, d.vms[0].stop)
	_, _, stderr := d.run("drain", "--watch")
	if !strings.Contains(stderr, "3 running, 0 queued") || !strings.Contains(stderr, "has stopped") {
		t.Fatal(stderr)
	}
}

// Guards against a status that leaves out the state of the control replica or of the VM.
func TestStatusText(t *testing.T) {
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
		out := d.must("status")
		for _, want := range []string{state.want, "warning: one replica", "leader, term 4", "abc", "learner"} {
			if !strings.Contains(out, want) {
				t.Errorf("%q is not in\n%s", want, out)
			}
		}
	}
}

// Guards against a ledger or a call record that operators cannot read.
func TestSamplesAndCalls(t *testing.T) {
	t.Parallel()
	d := newTestDeployment(t, 1)
	d.must("table", "set", "tutor", "kind=rollout", "pool=p", "model=m", "deadline=33m", "token_sha256="+digest)
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
	if out := d.must("samples"); !regexp.MustCompile(`tutor +7 +open`).MatchString(out) {
		t.Errorf("steps are\n%s", out)
	}
	if out := d.must("samples", "tutor", "7"); !regexp.MustCompile(`g-1 +0 +1 +vm-a +6,7`).MatchString(out) {
		t.Errorf("step is\n%s", out)
	}
	d.fails(errs.ExitUsage, "is not a step", "samples", "tutor", "seven")
	if out := d.must("requests", "show", key.String()); !strings.Contains(out, "status 201, 4 bytes of text/plain") {
		t.Errorf("call is\n%s", out)
	}
}

// Guards against a server error that is reported as wrong use, and against warnings that break the JSON log.
func TestServe(t *testing.T) {
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

// Guards against a certificate of a VM being used by an operator's command.
func TestOperatorRoleIsRequired(t *testing.T) {
	t.Parallel()
	d := newTestDeployment(t, 1)
	vm := pki.LeafFiles(d.keys, "vm-a")
	d.fails(errs.ExitDenied, "may not call operator.table", "--cert", vm.Cert, "--key", vm.Key, "table", "get")
	stderr := d.fails(errs.ExitDenied, "permission_denied", "--cert", vm.Cert, "--key", vm.Key, "table", "get", "-o", "json")
	var e jsonError
	if err := json.Unmarshal([]byte(stderr), &e); err != nil || e.Remedy == "" {
		t.Fatalf("error in JSON: %q, %v", stderr, err)
	}
}

var _ control.Client = (*sharedControl)(nil)

// Guards against a row that cannot be passed from table get back to table set.
func TestValuesRoundTrip(t *testing.T) {
	t.Parallel()
	row := table.Row{
		Name: "r", Kind: table.KindRollout, Pool: "p", Model: "m", Weights: table.WeightVersionRange{Min: 3, Max: 9}, MaxStalenessVersions: 2,
		MaxStalenessTime: 17 * time.Minute, MaxInFlight: 5, Priority: -1, Deadline: 33 * time.Minute, RefusalBudget: 4, TokenSHA256: digest,
	}
	var assignments []string
	for column, value := range valuesOf(row) {
		if column != "version" {
			assignments = append(assignments, column+"="+value)
		}
	}
	got, err := changed(table.Row{}, "r", assignments, false)
	if err != nil || got != row {
		t.Fatalf("got %+v, %v", got, err)
	}
}
