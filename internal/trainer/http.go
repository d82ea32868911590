package trainer

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"filbertledge/internal/api"
	"filbertledge/internal/control"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/pki"
	"filbertledge/internal/table"
)

const pathPrefix = "/trainer/v1/"

// Limits of one HTTP request.
const (
	maxHTTPBody  = 4 << 20
	requestLimit = 10 * time.Second // for commands
	maxWait      = 30 * time.Second
	defaultMax   = 64
	maxSamples   = 1024
)

// handler returns the JSON answer of a request, or the error that takes its place.
type handler func(ctx *fasthttp.RequestCtx) (any, error)

func (s *Service) route(ctx *fasthttp.RequestCtx) bool {
	path := string(ctx.Path())
	if !strings.HasPrefix(path, pathPrefix) {
		return false
	}
	h, err := s.find(string(ctx.Method()), strings.Split(path[len(pathPrefix):], "/"))
	var v any
	if err == nil {
		v, err = h(ctx)
	}
	respond(ctx, v, err)
	return true
}

func (s *Service) find(method string, parts []string) (handler, error) {
	name, want := "", fasthttp.MethodPost
	var h handler
	switch {
	case len(parts) == 1 && parts[0] == "steps":
		name, h = "steps", s.openStep
	case len(parts) == 1 && parts[0] == "weights":
		name, h = "weights", s.publishWeights
	case len(parts) == 4 && parts[0] == "steps":
		id, err := parseStep(parts[1], parts[2])
		if err != nil {
			return nil, err
		}
		name, want, h = s.stepHandler(id, parts[3])
	}
	if h == nil {
		return nil, errs.New(errs.NotFound, "use one of the paths of the trainer API", "the path does not exist")
	}
	if method != want {
		return nil, errs.New(errs.InvalidArgument, "use "+want, "method %s is not allowed for %s", method, name)
	}
	return h, nil
}

func (s *Service) stepHandler(id control.StepID, name string) (string, string, handler) {
	switch name {
	case "groups":
		return name, fasthttp.MethodPost, func(ctx *fasthttp.RequestCtx) (any, error) { return s.submitGroups(ctx, id) }
	case "samples":
		return name, fasthttp.MethodGet, func(ctx *fasthttp.RequestCtx) (any, error) { return s.samples(ctx, id) }
	case "ack":
		return name, fasthttp.MethodPost, func(ctx *fasthttp.RequestCtx) (any, error) { return s.acknowledge(ctx, id) }
	default:
		return name, "", nil
	}
}

func parseStep(row, number string) (control.StepID, error) {
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return control.StepID{}, errs.New(errs.InvalidArgument, "use a whole number", "step %.40q is not a number", number)
	}
	return control.StepID{Row: api.RowName(row), Step: n}, nil
}

func respond(ctx *fasthttp.RequestCtx, v any, err error) {
	var data []byte
	if err == nil {
		data, err = json.Marshal(v)
	}
	ctx.SetContentType("application/json")
	if err == nil {
		ctx.SetBody(data)
		return
	}
	kind := errs.KindOf(err)
	ctx.Response.Header.Set(api.HeaderError, string(kind))
	ctx.SetStatusCode(errs.HTTPStatus(kind))
	data, _ = json.Marshal(errorBody{Error: errorDetail{Message: err.Error(), Type: string(kind), Code: string(kind)}})
	ctx.SetBody(data)
}

// errorBody is the error body of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func decodeBody(ctx *fasthttp.RequestCtx, v any) error {
	data := ctx.PostBody()
	if len(data) > maxHTTPBody {
		return errs.New(errs.PayloadTooLarge, "send less at a time", "the body has %d bytes; at most %d are allowed", len(data), maxHTTPBody)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errs.Wrap(err, errs.InvalidArgument, "correct the JSON body", "the body cannot be read")
	}
	if d.More() {
		return errs.New(errs.InvalidArgument, "send one JSON object", "the body holds more than one value")
	}
	return nil
}

// authorize returns the row if the bearer token is the row's. A row that does not exist and a wrong token get
// the same answer, so that row names cannot be probed.
func (s *Service) authorize(ctx *fasthttp.RequestCtx, name api.RowName) (table.Row, error) {
	row, ok := s.o.Client.Table().Row(name)
	token, found := bytes.CutPrefix(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization), []byte("Bearer "))
	match := pki.TokenMatches(string(token), row.TokenSHA256)
	if !ok || !found || !match {
		if err := s.checkFresh(); err != nil {
			return table.Row{}, err // a newer table may have the row or the token
		}
		s.o.Events.Record(events.Event{Name: events.CredentialRefused, Detail: "trainer API, " + ctx.RemoteAddr().String()})
		return table.Row{}, errs.New(errs.Unauthenticated, "send the row's token as Authorization: Bearer", "the row does not exist or the token is wrong")
	}
	if row.Kind != table.KindRollout {
		return table.Row{}, errs.New(errs.InvalidArgument, "use a rollout row", "row %q is not a rollout row", name)
	}
	return row, nil
}

func (s *Service) do(c control.Command) (control.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
	defer cancel()
	return s.o.Client.Do(ctx, c)
}

type openRequest struct {
	Row        api.RowName `json:"row"`
	Step       uint64      `json:"step"`
	DeadlineMS int64       `json:"deadline_ms"`
	Groups     int         `json:"groups"`
	GroupSize  int         `json:"group_size"`
}

type openAnswer struct {
	State string `json:"state"`
}

func (s *Service) openStep(ctx *fasthttp.RequestCtx) (any, error) {
	var q openRequest
	if err := decodeBody(ctx, &q); err != nil {
		return nil, err
	}
	if _, err := s.authorize(ctx, q.Row); err != nil {
		return nil, err
	}
	const longest = int64(24 * time.Hour / time.Millisecond)
	if q.DeadlineMS <= 0 || q.DeadlineMS > longest {
		return nil, errs.New(errs.InvalidArgument, "use 1 to 86400000", "deadline_ms %d is out of range", q.DeadlineMS)
	}
	_, err := s.do(control.Command{OpenStep: &control.OpenStep{
		ID: control.StepID{Row: q.Row, Step: q.Step}, Deadline: time.Duration(q.DeadlineMS) * time.Millisecond,
		Groups: q.Groups, GroupSize: q.GroupSize,
	}})
	return openAnswer{State: "open"}, err
}

type groupsRequest struct {
	Groups []groupRequest `json:"groups"`
}

type groupRequest struct {
	ID      string          `json:"id"`
	Size    int             `json:"size"`
	Request json.RawMessage `json:"request"`
}

type groupsAnswer struct {
	Accepted int `json:"accepted"`
}

func (s *Service) submitGroups(ctx *fasthttp.RequestCtx, id control.StepID) (any, error) {
	if _, err := s.authorize(ctx, id.Row); err != nil {
		return nil, err
	}
	var q groupsRequest
	if err := decodeBody(ctx, &q); err != nil {
		return nil, err
	}
	c := control.SubmitGroups{Step: id, VM: s.o.VM.ID, Incarnation: s.o.VM.Incarnation, Owners: s.owners(id, len(q.Groups))}
	prompts := map[string][]byte{}
	for _, g := range q.Groups {
		prompt, err := checkPrompt(g)
		if err != nil {
			return nil, err
		}
		prompts[g.ID] = prompt
		c.Groups = append(c.Groups, control.Group{ID: g.ID, Step: id, Size: g.Size, Prompt: prompt})
	}
	res, err := s.do(control.Command{SubmitGroups: &c})
	if err != nil {
		s.run.claimSoon() // the groups may be ours
		return nil, err
	}
	for i := range res.Groups {
		res.Groups[i].Prompt = prompts[res.Groups[i].ID]
	}
	s.run.adopt(res.Groups)
	return groupsAnswer{Accepted: res.Count}, nil
}

// owners chooses the VMs that produce the groups of a request. One VM alone could use only its own share of the
// row's max_in_flight. The order differs from step to step, so that small steps do not all go to the same VMs.
func (s *Service) owners(id control.StepID, groups int) []control.GroupOwner {
	vms := slices.Clone(s.o.Client.VMs())
	weight := func(vm api.VM) uint64 { return xxhash.Sum64String(groupName(id, string(vm.ID))) }
	slices.SortFunc(vms, func(a, b api.VM) int { return cmp.Compare(weight(a), weight(b)) })
	var out []control.GroupOwner
	for _, vm := range vms[:min(groups, len(vms))] {
		out = append(out, control.GroupOwner{VM: vm.ID, Incarnation: vm.Incarnation})
	}
	return out
}

// checkPrompt returns the request without insignificant space, so that a resend with other formatting is equal.
func checkPrompt(g groupRequest) ([]byte, error) {
	var request struct {
		Messages json.RawMessage `json:"messages"`
		Stream   bool            `json:"stream"`
	}
	if err := json.Unmarshal(g.Request, &request); err != nil {
		return nil, errs.Wrap(err, errs.InvalidArgument, "send a chat completion request", "the request of group %q cannot be read", g.ID)
	}
	if len(request.Messages) == 0 || request.Stream {
		return nil, errs.New(errs.InvalidArgument, "send messages and leave stream out", "the request of group %q has no messages or asks for a stream", g.ID)
	}
	var out bytes.Buffer
	err := json.Compact(&out, g.Request)
	return out.Bytes(), errs.Wrap(err, errs.InvalidArgument, "send a chat completion request", "the request of group %q", g.ID)
}

type ackRequest struct {
	Samples []struct {
		Group   string `json:"group"`
		Member  int    `json:"member"`
		Attempt uint64 `json:"attempt"`
	} `json:"samples"`
}

type ackAnswer struct {
	Acknowledged int `json:"acknowledged"`
}

func (s *Service) acknowledge(ctx *fasthttp.RequestCtx, id control.StepID) (any, error) {
	if _, err := s.authorize(ctx, id.Row); err != nil {
		return nil, err
	}
	var q ackRequest
	if err := decodeBody(ctx, &q); err != nil {
		return nil, err
	}
	c := control.Acknowledge{Step: id}
	for _, a := range q.Samples {
		sample := control.SampleID{Step: id, Group: a.Group, Member: a.Member}
		c.Samples = append(c.Samples, control.SampleAck{ID: sample, Attempt: a.Attempt})
	}
	res, err := s.do(control.Command{Acknowledge: &c})
	if err != nil {
		return nil, err
	}
	for _, a := range c.Samples {
		s.record(events.SampleAcknowledged, a.ID, "")
		s.count(id.Row, "acknowledged")
	}
	s.releaseLater(res.ReleasedSamples)
	return ackAnswer{Acknowledged: res.Count}, nil
}

// releaseLater drops the bodies after the trainer has its answer.
func (s *Service) releaseLater(samples []control.SampleView) {
	if len(samples) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		s.release(ctx, samples)
	}()
}

type weightsRequest struct {
	Row     api.RowName       `json:"row"`
	Model   string            `json:"model"`
	Version api.WeightVersion `json:"version"`
}

type weightsAnswer struct {
	Newest api.WeightVersion `json:"newest_version"`
}

func (s *Service) publishWeights(ctx *fasthttp.RequestCtx) (any, error) {
	var q weightsRequest
	if err := decodeBody(ctx, &q); err != nil {
		return nil, err
	}
	row, err := s.authorize(ctx, q.Row)
	if err != nil {
		return nil, err
	}
	if q.Model != row.Model {
		return nil, errs.New(errs.PermissionDenied, "name the model of the row", "row %q may not publish weights of model %q", q.Row, q.Model)
	}
	res, err := s.do(control.Command{PublishWeights: &control.PublishWeights{Model: q.Model, Version: q.Version}})
	return weightsAnswer{Newest: res.NewestWeights}, err
}
