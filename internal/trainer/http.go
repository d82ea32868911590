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

// Limits of HTTP requests.
const (
	maxHTTPBodyBytes   = 4 << 20
	requestTimeout     = 10 * time.Second // of the calls to the control leader that one request causes
	maxSampleWait      = 30 * time.Second
	defaultSampleLimit = 64
	maxSampleLimit     = 1024
)

// handler serves a request. It returns a value that is sent as JSON, or an error that is sent instead.
type handler func(ctx *fasthttp.RequestCtx) (any, error)

func (s *Service) route(ctx *fasthttp.RequestCtx) bool {
	path := string(ctx.Path())
	if !strings.HasPrefix(path, pathPrefix) {
		return false
	}
	handle, err := s.findHandler(string(ctx.Method()), strings.Split(path[len(pathPrefix):], "/"))
	var v any
	if err == nil {
		v, err = handle(ctx)
	}
	writeResponse(ctx, v, err)
	return true
}

func (s *Service) findHandler(method string, parts []string) (handler, error) {
	name, allowedMethod := "", fasthttp.MethodPost
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
		name, allowedMethod, h = s.stepHandler(id, parts[3])
	}
	if h == nil {
		return nil, errs.New(errs.NotFound, "use one of the paths of the trainer API", "the path does not exist")
	}
	if method != allowedMethod {
		return nil, errs.New(errs.InvalidArgument, "use "+allowedMethod, "method %s is not allowed for %s", method, name)
	}
	return h, nil
}

func (s *Service) stepHandler(id control.StepID, name string) (string, string, handler) {
	switch name {
	case "groups":
		return name, fasthttp.MethodPost, func(ctx *fasthttp.RequestCtx) (any, error) { return s.submitGroups(ctx, id) }
	case "samples":
		return name, fasthttp.MethodGet, func(ctx *fasthttp.RequestCtx) (any, error) { return s.getSamples(ctx, id) }
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

func writeResponse(ctx *fasthttp.RequestCtx, v any, err error) {
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

// errorBody is the JSON of an error, in the format of the OpenAI API.
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
	if len(data) > maxHTTPBodyBytes {
		return errs.New(errs.PayloadTooLarge, "send less at a time", "the request body has %d bytes; at most %d are allowed", len(data), maxHTTPBodyBytes)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errs.Wrap(err, errs.InvalidArgument, "correct the JSON body", "the request body cannot be decoded")
	}
	if d.More() {
		return errs.New(errs.InvalidArgument, "send one JSON object", "the request body has more than one JSON value")
	}
	return nil
}

// authorize returns the row if the bearer token belongs to it. An unknown row and a wrong token get the same answer,
// so that clients without a token cannot find out row names.
func (s *Service) authorize(ctx *fasthttp.RequestCtx, name api.RowName) (table.Row, error) {
	row, ok := s.opts.Client.Table().Row(name)
	token, found := bytes.CutPrefix(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization), []byte("Bearer "))
	match := pki.TokenMatches(string(token), row.TokenSHA256)
	if !ok || !found || !match {
		if err := s.checkTableLease(); err != nil {
			return table.Row{}, err // a newer table may have this row or token
		}
		s.opts.Events.Record(events.Event{Name: events.CredentialRefused, Detail: "trainer API, " + ctx.RemoteAddr().String()})
		return table.Row{}, errs.New(errs.Unauthenticated, "send the row's token as Authorization: Bearer", "the row does not exist or the token is wrong")
	}
	if row.Kind != table.KindRollout {
		return table.Row{}, errs.New(errs.InvalidArgument, "use a rollout row", "row %q is not a rollout row", name)
	}
	return row, nil
}

func (s *Service) applyCommand(c control.Command) (control.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return s.opts.Client.Do(ctx, c)
}

type openStepRequest struct {
	Row        api.RowName `json:"row"`
	Step       uint64      `json:"step"`
	DeadlineMS int64       `json:"deadline_ms"`
	Groups     int         `json:"groups"`
	GroupSize  int         `json:"group_size"`
}

type openStepResponse struct {
	State string `json:"state"`
}

func (s *Service) openStep(ctx *fasthttp.RequestCtx) (any, error) {
	var req openStepRequest
	if err := decodeBody(ctx, &req); err != nil {
		return nil, err
	}
	if _, err := s.authorize(ctx, req.Row); err != nil {
		return nil, err
	}
	const maxDeadlineMS = int64(24 * time.Hour / time.Millisecond)
	if req.DeadlineMS <= 0 || req.DeadlineMS > maxDeadlineMS {
		return nil, errs.New(errs.InvalidArgument, "use 1 to 86400000", "deadline_ms %d is out of range", req.DeadlineMS)
	}
	_, err := s.applyCommand(control.Command{OpenStep: &control.OpenStep{
		ID: control.StepID{Row: req.Row, Step: req.Step}, Deadline: time.Duration(req.DeadlineMS) * time.Millisecond,
		Groups: req.Groups, GroupSize: req.GroupSize,
	}})
	return openStepResponse{State: "open"}, err
}

type submitGroupsRequest struct {
	Groups []groupRequest `json:"groups"`
}

type groupRequest struct {
	ID      string          `json:"id"`
	Size    int             `json:"size"`
	Request json.RawMessage `json:"request"`
}

type submitGroupsResponse struct {
	Accepted int `json:"accepted"`
}

func (s *Service) submitGroups(ctx *fasthttp.RequestCtx, id control.StepID) (any, error) {
	if _, err := s.authorize(ctx, id.Row); err != nil {
		return nil, err
	}
	var req submitGroupsRequest
	if err := decodeBody(ctx, &req); err != nil {
		return nil, err
	}
	c := control.SubmitGroups{Step: id, VM: s.opts.VM.ID, Incarnation: s.opts.VM.Incarnation, Owners: s.chooseOwners(id, len(req.Groups))}
	prompts := map[string][]byte{}
	for _, g := range req.Groups {
		prompt, err := normalizePrompt(g)
		if err != nil {
			return nil, err
		}
		prompts[g.ID] = prompt
		c.Groups = append(c.Groups, control.Group{ID: g.ID, Step: id, Size: g.Size, Prompt: prompt})
	}
	res, err := s.applyCommand(control.Command{SubmitGroups: &c})
	if err != nil {
		s.runner.requestClaim() // the command may have been applied, so that this VM owns the groups
		return nil, err
	}
	for i := range res.Groups {
		res.Groups[i].Prompt = prompts[res.Groups[i].ID]
	}
	s.runner.addGroups(res.Groups)
	return submitGroupsResponse{Accepted: res.Count}, nil
}

// chooseOwners returns the VMs that generate the groups of a request, in the order in which they are given groups.
// The groups are spread because one VM may use only its own share of the row's max_in_flight. The order differs
// between steps, so that steps with few groups do not all go to the same VMs.
func (s *Service) chooseOwners(id control.StepID, groups int) []control.GroupOwner {
	vms := slices.Clone(s.opts.Client.VMs())
	rank := func(vm api.VM) uint64 { return xxhash.Sum64String(groupName(id, string(vm.ID))) }
	slices.SortFunc(vms, func(a, b api.VM) int { return cmp.Compare(rank(a), rank(b)) })
	var out []control.GroupOwner
	for _, vm := range vms[:min(groups, len(vms))] {
		out = append(out, control.GroupOwner{VM: vm.ID, Incarnation: vm.Incarnation})
	}
	return out
}

// normalizePrompt checks the request of a group and removes its insignificant whitespace, so that a resend with other
// formatting counts as equal.
func normalizePrompt(g groupRequest) ([]byte, error) {
	var request struct {
		Messages json.RawMessage `json:"messages"`
		Stream   bool            `json:"stream"`
	}
	if err := json.Unmarshal(g.Request, &request); err != nil {
		return nil, errs.Wrap(err, errs.InvalidArgument, "send a chat completion request", "the request of group %q cannot be decoded", g.ID)
	}
	if len(request.Messages) == 0 || request.Stream {
		return nil, errs.New(errs.InvalidArgument, "send messages and leave stream out", "the request of group %q has no messages or asks for a stream", g.ID)
	}
	var out bytes.Buffer
	err := json.Compact(&out, g.Request)
	return out.Bytes(), errs.Wrap(err, errs.InvalidArgument, "send a chat completion request", "the request of group %q is not valid JSON", g.ID)
}

type ackRequest struct {
	Samples []struct {
		Group   string `json:"group"`
		Member  int    `json:"member"`
		Attempt uint64 `json:"attempt"`
	} `json:"samples"`
}

type ackResponse struct {
	Acknowledged int `json:"acknowledged"`
}

func (s *Service) acknowledge(ctx *fasthttp.RequestCtx, id control.StepID) (any, error) {
	if _, err := s.authorize(ctx, id.Row); err != nil {
		return nil, err
	}
	var req ackRequest
	if err := decodeBody(ctx, &req); err != nil {
		return nil, err
	}
	c := control.Acknowledge{Step: id}
	for _, a := range req.Samples {
		sample := control.SampleID{Step: id, Group: a.Group, Member: a.Member}
		c.Samples = append(c.Samples, control.SampleAck{ID: sample, Attempt: a.Attempt})
	}
	res, err := s.applyCommand(control.Command{Acknowledge: &c})
	if err != nil {
		return nil, err
	}
	for _, a := range c.Samples {
		s.recordEvent(events.SampleAcknowledged, a.ID, "")
		s.countSample(id.Row, "acknowledged")
	}
	s.releaseBodiesAsync(res.ReleasedSamples)
	return ackResponse{Acknowledged: res.Count}, nil
}

// releaseBodiesAsync releases bodies in the background, so that the answer to the trainer does not wait for it.
func (s *Service) releaseBodiesAsync(samples []control.SampleView) {
	if len(samples) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		s.releaseBodies(ctx, samples)
	}()
}

type publishWeightsRequest struct {
	Row     api.RowName       `json:"row"`
	Model   string            `json:"model"`
	Version api.WeightVersion `json:"version"`
}

type publishWeightsResponse struct {
	Newest api.WeightVersion `json:"newest_version"`
}

func (s *Service) publishWeights(ctx *fasthttp.RequestCtx) (any, error) {
	var req publishWeightsRequest
	if err := decodeBody(ctx, &req); err != nil {
		return nil, err
	}
	row, err := s.authorize(ctx, req.Row)
	if err != nil {
		return nil, err
	}
	if req.Model != row.Model {
		return nil, errs.New(errs.PermissionDenied, "name the model of the row", "row %q may not publish weights of model %q", req.Row, req.Model)
	}
	res, err := s.applyCommand(control.Command{PublishWeights: &control.PublishWeights{Model: req.Model, Version: req.Version}})
	return publishWeightsResponse{Newest: res.NewestWeights}, err
}
