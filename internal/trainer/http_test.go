package trainer

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/api"
	"filbertledge/internal/control"
	"filbertledge/internal/scoring"
	"filbertledge/internal/table"
)

// TestInvalidRequestsAreRefused guards against invalid requests that crash the VM or are partly accepted, and against
// access to a row without its token.
func TestInvalidRequestsAreRefused(t *testing.T) {
	d := newDeployment(t, 1, testRow(), &fakeEngine{})
	chat := testRow()
	chat.Name, chat.Kind, chat.MaxStalenessVersions = "chat", table.KindChat, 0
	d.editRow(chat, 0)
	d.mustRequest(0, "POST", "/trainer/v1/steps", openStepRequest{Row: "tutor", Step: 1, DeadlineMS: 60_000, Groups: 2, GroupSize: 2}, nil)
	const steps, groups, ack = "/trainer/v1/steps", "/trainer/v1/steps/tutor/1/groups", "/trainer/v1/steps/tutor/1/ack"
	group := func(id string, size int, request string) string {
		return fmt.Sprintf(`{"groups":[{"id":%q,"size":%d,"request":%s}]}`, id, size, request)
	}
	const prompt = `{"messages":[{"role":"user","content":"a"}]}`
	tests := []struct {
		name, method, path, token string
		body                      any
		status                    int
	}{
		{"wrong token", "POST", groups, "other", group("a", 2, prompt), 401},
		{"no token", "POST", groups, "", group("a", 2, prompt), 401},
		{"unknown row", "GET", "/trainer/v1/steps/none/1/samples", testToken, nil, 401},
		{"row of another kind", "GET", "/trainer/v1/steps/chat/1/samples", testToken, nil, 400},
		{"unknown path", "POST", "/trainer/v1/other", testToken, nil, 404},
		{"unknown call", "POST", "/trainer/v1/steps/tutor/1/other", testToken, nil, 404},
		{"wrong method", "GET", steps, testToken, nil, 400},
		{"step is no number", "GET", "/trainer/v1/steps/tutor/one/samples", testToken, nil, 400},
		{"step does not exist", "GET", "/trainer/v1/steps/tutor/9/samples", testToken, nil, 404},
		{"not JSON", "POST", steps, testToken, "{", 400},
		{"two values", "POST", steps, testToken, "{}{}", 400},
		{"unknown field", "POST", steps, testToken, `{"row":"tutor","colour":1}`, 400},
		{"no deadline", "POST", steps, testToken, `{"row":"tutor","step":3,"groups":1,"group_size":1}`, 400},
		{"other content of an open step", "POST", steps, testToken, openStepRequest{Row: "tutor", Step: 1, DeadlineMS: 1, Groups: 2, GroupSize: 2}, 409},
		{"group of another size", "POST", groups, testToken, group("a", 3, prompt), 400},
		{"request without messages", "POST", groups, testToken, group("a", 2, `{}`), 400},
		{"request for a stream", "POST", groups, testToken, group("a", 2, `{"messages":[{}],"stream":true}`), 400},
		{"request that is a number", "POST", groups, testToken, group("a", 2, `1`), 400},
		{"prompt of 64 KiB", "POST", groups, testToken, group("a", 2, `{"messages":["`+strings.Repeat("a", 64<<10)+`"]}`), 413},
		{"body over the limit", "POST", groups, testToken, strings.Repeat(" ", maxHTTPBodyBytes+1), 413},
		{"acknowledgement of an unknown sample", "POST", ack, testToken, `{"samples":[{"group":"x","member":0,"attempt":1}]}`, 404},
		{"wait too long", "GET", "/trainer/v1/steps/tutor/1/samples?wait_ms=30001", testToken, nil, 400},
		{"max of zero", "GET", "/trainer/v1/steps/tutor/1/samples?max=0", testToken, nil, 400},
		{"weights of another model", "POST", "/trainer/v1/weights", testToken, publishWeightsRequest{Row: "tutor", Model: "drafter", Version: 2}, 403},
		{"weights of version zero", "POST", "/trainer/v1/weights", testToken, publishWeightsRequest{Row: "tutor", Model: "tutor"}, 400},
	}
	for _, tt := range tests {
		if got := d.request(0, tt.method, tt.path, tt.token, tt.body, nil); got != tt.status {
			t.Errorf("%s: status %d, want %d", tt.name, got, tt.status)
		}
	}
	if n := d.engine.calls.Load(); n != 0 {
		t.Errorf("refused requests started %d rollouts, want 0", n)
	}
	d.vms[0].client.leaseExpired.Store(true)
	if got := d.request(0, "POST", groups, "other", group("a", 2, prompt), nil); got != 503 {
		t.Errorf("wrong token with an expired table lease: status %d, want 503", got)
	}
	d.vms[0].client.leaseExpired.Store(false)
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI("/v1/models")
	if d.vms[0].HandleHTTP(&ctx) {
		t.Error("the trainer API handled a path of another API")
	}
	var a publishWeightsResponse
	d.mustRequest(0, "POST", "/trainer/v1/weights", publishWeightsRequest{Row: "tutor", Model: "tutor", Version: 5}, &a)
	d.mustRequest(0, "POST", "/trainer/v1/weights", publishWeightsRequest{Row: "tutor", Model: "tutor", Version: 3}, &a)
	if a.Newest != 5 {
		t.Errorf("newest version %d, want 5", a.Newest)
	}
}

// TestSamplesAreScoredBeforeDelivery guards against samples that are delivered without a score, or with the score of
// another completion.
func TestSamplesAreScoredBeforeDelivery(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := calls.Add(1)
		var q scoring.Request
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil || q.Prompt != "stitch 0" || q.Row != "tutor" || q.Step != 1 {
			t.Errorf("request %+v, %v", q, err)
		}
		switch {
		case n <= 2:
			w.WriteHeader(http.StatusInternalServerError)
		case n <= 4:
			fmt.Fprint(w, `{"points":1}`)
		default:
			fmt.Fprintf(w, `{"score":%d}`, len(q.Completion)+q.Member)
		}
	}))
	defer server.Close()
	row := testRow()
	row.Scoring = server.URL + "/score"
	d := newDeployment(t, 1, row, &fakeEngine{})
	d.openStep(0, 1, 1, 2)
	for _, s := range d.fetchAll(1, 2) {
		if s.Score == nil || int(*s.Score) != len(s.Text)+s.ID.Member {
			t.Errorf("sample %+v has score %v", s.ID, s.Score)
		}
	}
	if n := d.engine.calls.Load(); n != 2 {
		t.Errorf("%d rollouts, want 2: a failed scoring request must not discard the answer", n)
	}
}

// TestSamplesWithLostBodiesAreGeneratedAgain guards against samples that can never be delivered after their holder
// restarted and lost their bodies, and against samples that are delivered with a damaged body.
func TestSamplesWithLostBodiesAreGeneratedAgain(t *testing.T) {
	tests := []struct {
		name   string
		damage func(d *deployment)
	}{
		{"restarted", func(d *deployment) {
			d.loseVM(0)
			d.control.mu.Lock()
			d.control.vms[0].Incarnation = 2
			d.control.mu.Unlock()
		}},
		{"body dropped", func(d *deployment) { d.vms[0].bodies.dropStep(tutorStep(1)) }},
		{"body damaged", func(d *deployment) {
			store := d.vms[0].bodies
			store.mu.Lock()
			keys := slices.Collect(maps.Keys(store.steps[tutorStep(1)]))
			store.mu.Unlock()
			for _, k := range keys {
				other, _ := control.Encode(sampleBody{Text: "other", Labels: []api.PieceLabel{{Version: 1, Tokens: 1}}})
				store.put(k, other)
			}
		}},
	}
	for _, tt := range tests {
		d := newDeployment(t, 2, testRow(), &fakeEngine{})
		d.openStepOnFirstVM(1, 2, 2)
		d.fetchAll(1, 4)
		tt.damage(d)
		if a := d.fetch(1, 1, 0); len(a.Samples) != 0 {
			t.Errorf("%s: delivered %+v", tt.name, a.Samples)
		}
		for _, s := range d.fetchAll(1, 4) {
			if s.Attempt != 2 || s.Text == "" {
				t.Errorf("%s: sample %+v", tt.name, s)
			}
		}
	}
}

// TestSelectGroupsKeepsGroupsWhole guards against responses that split a group to meet the limit.
func TestSelectGroupsKeepsGroupsWhole(t *testing.T) {
	view := func(group string, member int) control.SampleView {
		return control.SampleView{ID: control.SampleID{Step: tutorStep(1), Group: group, Member: member}}
	}
	list := []control.SampleView{view("a", 0), view("a", 1), view("a", 2), view("b", 0), view("b", 1), view("c", 0)}
	for _, tt := range []struct{ limit, groups int }{{1, 1}, {3, 1}, {4, 1}, {5, 2}, {6, 3}, {100, 3}} {
		if got := len(selectGroups(list, tt.limit)); got != tt.groups {
			t.Errorf("limit %d: %d groups, want %d", tt.limit, got, tt.groups)
		}
	}
}

// TestDrainMovesGroupsToOtherVMs guards against groups and samples that stay with a VM that exits.
func TestDrainMovesGroupsToOtherVMs(t *testing.T) {
	d := newDeployment(t, 2, testRow(), &fakeEngine{})
	d.openStepOnFirstVM(1, 2, 2)
	d.fetchAll(1, 4)
	if err := d.vms[0].Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	d.vms[0].unreachable.Store(true)
	for _, s := range d.fetchAll(1, 4) {
		if s.Attempt != 2 || s.Versions[0] != api.WeightVersion(1) {
			t.Errorf("sample %+v", s)
		}
	}
}
