package backend

import (
	"context"
	"encoding/json"
	"net/http"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

// OrderKind is the action that an order requests.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderSwitch OrderKind = "switch"
	OrderUnload OrderKind = "unload"
)

// Order asks an engine to load, switch to or unload a weight version. The engine accepts an order before it executes
// it.
type Order struct {
	OrderID      string            `json:"order_id"`
	Kind         OrderKind         `json:"kind"`
	Model        string            `json:"model"`
	Version      api.WeightVersion `json:"version"`
	FencingToken uint64            `json:"fencing_token"`
}

// EngineState is an engine's response to GET /engine/v1/state.
type EngineState struct {
	Model               string              `json:"model"`
	CurrentVersion      api.WeightVersion   `json:"current_version"`
	LoadedVersions      []api.WeightVersion `json:"loaded_versions"`
	Running             int                 `json:"running"`
	Waiting             int                 `json:"waiting"`
	Capacity            int                 `json:"capacity"`
	HighestFencingToken uint64              `json:"highest_fencing_token"`
	Incarnation         uint64              `json:"incarnation"`
}

type orderResponse struct {
	Accepted bool   `json:"accepted"`
	Error    string `json:"error"`
	Highest  uint64 `json:"highest"`
}

// SendOrder sends an order to the engine at addr. If the engine refuses the fencing token, the error is of the kind
// errs.FencingTokenTooOld.
func (c *Client) SendOrder(ctx context.Context, addr string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "report this error", "order cannot be encoded")
	}
	response, err := c.Do(ctx, Request{
		Address: addr, Method: http.MethodPost, Path: "/engine/v1/orders", ContentType: "application/json", Body: body, NewConnection: true,
	})
	if err != nil {
		return err
	}
	var a orderResponse
	if err := json.Unmarshal(response.Body, &a); err != nil {
		return errs.Wrap(err, errs.BackendFailed, "check the version of the engine", "response to the order is malformed (status %d)", response.Status)
	}
	if response.Status == http.StatusConflict {
		return errs.New(errs.FencingTokenTooOld, "let the current leader send the order", "order with fencing token %d was refused, highest is %d", o.FencingToken, a.Highest)
	}
	if response.Status != http.StatusOK || !a.Accepted {
		return errs.New(errs.BackendFailed, "send the order again", "engine refused the order with status %d: %s", response.Status, a.Error)
	}
	return nil
}

// FetchEngineState requests the state of the engine at addr.
func (c *Client) FetchEngineState(ctx context.Context, addr string) (EngineState, error) {
	response, err := c.Do(ctx, Request{Address: addr, Method: http.MethodGet, Path: "/engine/v1/state"})
	if err != nil {
		return EngineState{}, err
	}
	if response.Status != http.StatusOK {
		return EngineState{}, errs.New(errs.BackendFailed, "read the state again", "engine answered with status %d", response.Status)
	}
	var s EngineState
	if err := json.Unmarshal(response.Body, &s); err != nil {
		return EngineState{}, errs.Wrap(err, errs.BackendFailed, "check the version of the engine", "state of the engine is malformed")
	}
	return s, nil
}

// CancelAttempt cancels an attempt on the engine at addr. Closing the attempt's connection has the same effect.
func (c *Client) CancelAttempt(ctx context.Context, addr, attemptID string) error {
	body, err := json.Marshal(struct {
		AttemptID string `json:"attempt_id"`
	}{attemptID})
	if err != nil {
		return errs.Wrap(err, errs.Internal, "report this error", "cancellation cannot be encoded")
	}
	_, err = c.Do(ctx, Request{
		Address: addr, Method: http.MethodPost, Path: "/engine/v1/cancel", ContentType: "application/json", Body: body,
	})
	return err
}
