package trainer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"filbertledge/internal/api"
	"filbertledge/internal/control"
	"filbertledge/internal/dispatch"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/table"
)

const testToken = "tutor-token"

// memoryControl is a state machine in memory that several VMs share in place of a replicated one.
type memoryControl struct {
	mu          sync.Mutex
	machine     *control.StateMachine
	index       uint64
	vms         []api.VM
	clockOffset time.Duration // how far the leader's clock is ahead
}

func newMemoryControl(vms ...api.VM) *memoryControl {
	return &memoryControl{machine: control.NewStateMachine(), vms: vms}
}

func (m *memoryControl) apply(t testing.TB, c control.Command) control.Result {
	t.Helper()
	res, err := m.do(c)
	if err != nil {
		t.Fatalf("command: %v", err)
	}
	return res
}

func (m *memoryControl) do(c control.Command) (control.Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.ProposedAt = time.Now().Add(m.clockOffset).UTC()
	data, err := control.EncodeCommand(c)
	if err != nil {
		return control.Result{}, err
	}
	m.index++
	res, err := control.DecodeResult(m.machine.Apply(m.index, data))
	if err != nil {
		return res, err
	}
	return res, res.Err()
}

// memoryClient is the control.Client of one VM. The next answersToLose commands are applied, but Do returns the error
// of a lost answer.
type memoryClient struct {
	*memoryControl
	leaseExpired  atomic.Bool
	onlyFirstVM   atomic.Bool // the VM knows only the first VM
	answersToLose atomic.Int64
}

func (c *memoryClient) Do(_ context.Context, cmd control.Command) (control.Result, error) {
	res, err := c.do(cmd)
	if c.answersToLose.Add(-1) >= 0 {
		return control.Result{}, errs.New(errs.OutcomeUnknown, "", "the answer is lost")
	}
	return res, err
}

func (c *memoryClient) Table() *table.Snapshot { return c.machine.Table() }
func (c *memoryClient) TableLeaseValid() bool  { return !c.leaseExpired.Load() }

func (c *memoryClient) Weights(model string) control.ModelWeights { return c.machine.Weights(model) }

func (c *memoryClient) ClaimRevision() uint64 { return c.machine.ClaimRevision() }

func (c *memoryClient) VMs() []api.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.onlyFirstVM.Load() {
		return slices.Clone(c.vms[:1])
	}
	return slices.Clone(c.vms)
}

func (c *memoryClient) Step(_ context.Context, id control.StepID) (control.StepView, error) {
	v, ok := c.machine.Step(id, time.Now())
	if !ok {
		return v, errs.New(errs.NotFound, "", "no step")
	}
	return v, nil
}

// fakeEngine generates an answer with the current weight version at once, or, if blockUntil returns a channel, when
// that is closed.
type fakeEngine struct {
	inFlightShare func(table.Row) int // Options.InFlightShare of the VMs
	version       atomic.Uint64
	calls         atomic.Int64
	active        atomic.Int64
	peak          atomic.Int64
	blockUntil    func(r dispatch.Rollout, call int64) <-chan struct{}
}

func (e *fakeEngine) Generate(ctx context.Context, r dispatch.Rollout) (dispatch.RolloutResult, error) {
	call := e.calls.Add(1)
	active := e.active.Add(1)
	defer e.active.Add(-1)
	for peak := e.peak.Load(); active > peak && !e.peak.CompareAndSwap(peak, active); peak = e.peak.Load() {
	}
	version := api.WeightVersion(e.version.Load())
	if e.blockUntil != nil {
		if c := e.blockUntil(r, call); c != nil {
			select {
			case <-c:
			case <-ctx.Done():
				return dispatch.RolloutResult{}, ctx.Err()
			}
		}
	}
	text := fmt.Sprintf("answer %d", r.Seed)
	return dispatch.RolloutResult{
		Text: text, Tokens: 3, Labels: []api.PieceLabel{{Version: version, Tokens: 3}}, RanFor: time.Millisecond,
	}, nil
}

// deployment is several VMs that share a control state and an engine.
type deployment struct {
	t          *testing.T
	control    *memoryControl
	engine     *fakeEngine
	vms        []*testVM
	beforeCall func() // called before each RPC between VMs
}

type testVM struct {
	*Service
	client      *memoryClient
	stop        func() // returns once the VM sends no more commands
	unreachable atomic.Bool
}

func testRow() table.Row {
	digest := sha256.Sum256([]byte(testToken))
	return table.Row{
		Name: "tutor", Kind: table.KindRollout, Pool: "tutor-llm", Model: "tutor", MaxStalenessVersions: 1,
		MaxInFlight: 8, Deadline: time.Minute, TokenSHA256: hex.EncodeToString(digest[:]),
	}
}

// newDeployment starts n VMs with one rollout row and publishes version 1 of its model.
func newDeployment(t *testing.T, n int, row table.Row, engine *fakeEngine) *deployment {
	t.Helper()
	var vms []api.VM
	for i := range n {
		name := fmt.Sprintf("vm-%d", i)
		vms = append(vms, api.VM{ID: api.VMID(name), Incarnation: 1, Address: name})
	}
	d := &deployment{t: t, control: newMemoryControl(vms...), engine: engine}
	d.editRow(row, 0)
	d.publish(1)
	for i := range n {
		d.startVM(vms[i])
	}
	return d
}

func (d *deployment) startVM(vm api.VM) {
	client := &memoryClient{memoryControl: d.control}
	s := New(Options{VM: vm, Client: client, Generator: d.engine, CallVM: d.callVM, InFlightShare: d.engine.inFlightShare, Events: events.NewRecorder(vm.ID, io.Discard)})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	v := &testVM{Service: s, client: client, stop: func() {
		cancel()
		<-done
	}}
	d.vms = append(d.vms, v)
	go func() {
		s.Run(ctx)
		close(done)
	}()
	d.t.Cleanup(v.stop)
}

func (d *deployment) callVM(ctx context.Context, addr, method string, request []byte) ([]byte, error) {
	if d.beforeCall != nil {
		d.beforeCall()
	}
	for _, v := range d.vms {
		if v.opts.VM.Address == addr && !v.unreachable.Load() {
			return v.RPCHandlers()[method](ctx, request)
		}
	}
	return nil, errs.New(errs.Unavailable, "", "no VM at %s", addr)
}

func (d *deployment) editRow(row table.Row, version uint64) {
	d.t.Helper()
	d.control.apply(d.t, control.Command{EditRow: &control.EditRow{
		EditID: uuid.Must(uuid.NewV7()), ExpectedVersion: version, Row: row, Operator: "test",
	}})
}

func (d *deployment) publish(v api.WeightVersion) {
	d.t.Helper()
	d.engine.version.Store(uint64(v))
	d.control.apply(d.t, control.Command{PublishWeights: &control.PublishWeights{Model: "tutor", Version: v}})
}

// request sends an HTTP request with body to a VM, decodes a successful response into v and returns the status.
func (d *deployment) request(vm int, method, path, token string, body, v any) int {
	d.t.Helper()
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(path)
	ctx.Request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+token)
	if raw, ok := body.(string); ok {
		ctx.Request.SetBodyString(raw)
	} else if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			d.t.Fatal(err)
		}
		ctx.Request.SetBody(data)
	}
	if !d.vms[vm].HandleHTTP(&ctx) {
		d.t.Fatalf("the trainer API does not handle path %s", path)
	}
	if v != nil && ctx.Response.StatusCode() == fasthttp.StatusOK {
		if err := json.Unmarshal(ctx.Response.Body(), v); err != nil {
			d.t.Fatalf("answer %s: %v", ctx.Response.Body(), err)
		}
	}
	return ctx.Response.StatusCode()
}

func (d *deployment) mustRequest(vm int, method, path string, body, v any) {
	d.t.Helper()
	if status := d.request(vm, method, path, testToken, body, v); status != fasthttp.StatusOK {
		d.t.Fatalf("%s %s: status %d", method, path, status)
	}
}

func (d *deployment) openStep(vm int, step uint64, groups, size int) {
	d.t.Helper()
	d.mustRequest(vm, "POST", "/trainer/v1/steps", openStepRequest{Row: "tutor", Step: step, DeadlineMS: 60_000, Groups: groups, GroupSize: size}, nil)
	d.submit(vm, step, groups, size)
}

// openStepOnFirstVM opens a step whose groups are all given to the first VM.
func (d *deployment) openStepOnFirstVM(step uint64, groups, size int) {
	d.t.Helper()
	d.vms[0].client.onlyFirstVM.Store(true)
	d.openStep(0, step, groups, size)
	d.vms[0].client.onlyFirstVM.Store(false)
}

func (d *deployment) submit(vm int, step uint64, groups, size int) int {
	d.t.Helper()
	var req submitGroupsRequest
	for i := range groups {
		prompt := fmt.Sprintf(`{"messages":[{"role":"user","content":"stitch %d"}]}`, i)
		req.Groups = append(req.Groups, groupRequest{ID: fmt.Sprintf("g%d", i), Size: size, Request: json.RawMessage(prompt)})
	}
	return d.request(vm, "POST", fmt.Sprintf("/trainer/v1/steps/tutor/%d/groups", step), testToken, req, nil)
}

func (d *deployment) fetch(vm int, step uint64, waitMS int) samplesResponse {
	d.t.Helper()
	var resp samplesResponse
	d.mustRequest(vm, "GET", fmt.Sprintf("/trainer/v1/steps/tutor/%d/samples?wait_ms=%d&max=1024", step, waitMS), nil, &resp)
	return resp
}

func (d *deployment) ack(vm int, step uint64, list []sampleJSON) int {
	d.t.Helper()
	var req ackRequest
	for _, s := range list {
		req.Samples = append(req.Samples, struct {
			Group   string `json:"group"`
			Member  int    `json:"member"`
			Attempt uint64 `json:"attempt"`
		}{s.ID.Group, s.ID.Member, s.Attempt})
	}
	var resp ackResponse
	d.mustRequest(vm, "POST", fmt.Sprintf("/trainer/v1/steps/tutor/%d/ack", step), req, &resp)
	return resp.Acknowledged
}

// fetchAll asks the VMs in turn until a response has n samples of the step, and does not acknowledge them.
func (d *deployment) fetchAll(step uint64, n int) []sampleJSON {
	d.t.Helper()
	start := time.Now()
	for i := 0; time.Since(start) < 20*time.Second; i++ {
		vm := i % len(d.vms)
		if d.vms[vm].unreachable.Load() {
			continue
		}
		if resp := d.fetch(vm, step, 200); len(resp.Samples) == n {
			return resp.Samples
		}
		time.Sleep(5 * time.Millisecond) // a VM that already has some finished groups answers without waiting
	}
	d.t.Fatalf("step %d: no response with %d samples within 20 s", step, n)
	return nil
}

// loseVM stops a VM, makes it unreachable and declares it lost.
func (d *deployment) loseVM(vm int) {
	d.t.Helper()
	v := d.vms[vm]
	v.unreachable.Store(true)
	v.stop()
	d.control.apply(d.t, control.Command{VMLost: &control.VMLost{VM: v.opts.VM.ID, Incarnation: v.opts.VM.Incarnation}})
}
