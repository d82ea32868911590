package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"filbertledge/internal/api"
	"filbertledge/internal/standin"
)

// Order is the body of POST /engine/v1/orders.
type Order struct {
	OrderID      string            `json:"order_id"`
	Kind         string            `json:"kind"` // load, switch or unload
	Model        string            `json:"model"`
	Version      api.WeightVersion `json:"version"`
	FencingToken uint64            `json:"fencing_token"`
}

// Results of orders in the log. The result of a failed order is the error message.
const (
	OrderAccepted = "accepted"
	OrderRefused  = "refused"
	OrderDone     = "done"
)

const (
	maxLoadAttempts = 20
	maxRetryAfter   = 5 * time.Second // upper limit of the wait that a Retry-After header can cause
)

func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var o Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		standin.ReplyError(ctx, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	if o.Kind != "load" && o.Kind != "switch" && o.Kind != "unload" || o.Model != e.opts.Model {
		standin.ReplyError(ctx, http.StatusBadRequest, "invalid_request_error", "the kind or the model of the order is not known")
		return
	}
	highest, ok := e.checkFencingToken(o.FencingToken)
	rec := standin.OrderRecord{
		Server: e.opts.ID, OrderID: o.OrderID, Kind: o.Kind, Model: o.Model, Version: o.Version,
		FencingToken: o.FencingToken, At: time.Now(), Result: OrderAccepted,
	}
	if !ok {
		rec.Result = OrderRefused
		e.log.RecordOrder(rec)
		standin.ReplyJSON(ctx, http.StatusConflict, struct {
			Error   string `json:"error"`
			Highest uint64 `json:"highest"`
		}{"fencing_token_too_old", highest})
		return
	}
	seq := e.log.RecordOrder(rec)
	e.background.Go(func() { e.execute(o, seq) })
	standin.ReplyJSON(ctx, http.StatusOK, struct {
		Accepted bool `json:"accepted"`
	}{true})
}

// checkFencingToken rejects a token below the highest one so far, unless the fault IgnoreFencing is active, and
// returns the highest.
func (e *Engine) checkFencingToken(token uint64) (highest uint64, ok bool) {
	ignore := e.faults.IgnoreFencing()
	e.mu.Lock()
	defer e.mu.Unlock()
	if token < e.highestFencingToken && !ignore {
		return e.highestFencingToken, false
	}
	e.highestFencingToken = max(e.highestFencingToken, token)
	return e.highestFencingToken, true
}

func (e *Engine) execute(o Order, sequence uint64) {
	var err error
	switch o.Kind {
	case "load":
		err = e.load(o)
	case "switch":
		err = e.switchTo(o)
	case "unload":
		err = e.unload(o)
	}
	result := OrderDone
	if err != nil {
		result = err.Error()
	}
	e.log.SetOrderResult(sequence, result)
	e.announcer.AnnounceNow()
}

func (e *Engine) load(o Order) error {
	e.mu.Lock()
	known := slices.Contains(e.loadedVersions, o.Version) || e.loadingVersions[o.Version]
	if !known {
		e.loadingVersions[o.Version] = true
	}
	e.mu.Unlock()
	if known {
		return nil
	}
	start := time.Now()
	err := e.fetchBlob(o)
	e.sleep(e.opts.LoadTime - time.Since(start))
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.loadingVersions, o.Version)
	if err == nil {
		e.loadedVersions = append(e.loadedVersions, o.Version)
	}
	return err
}

// sleep waits for d or until the engine is closed.
func (e *Engine) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-e.ctx.Done():
	}
}

// fetchBlob reads the blob from the weight store and retries while the store refuses it because of its rate limit.
func (e *Engine) fetchBlob(o Order) error {
	if e.opts.WeightStoreURL == "" {
		return nil
	}
	url := fmt.Sprintf("%s/models/%s/versions/%d/blob", e.opts.WeightStoreURL, o.Model, o.Version)
	for range maxLoadAttempts {
		wait, err := e.tryFetchBlob(url)
		if err != nil || wait == 0 {
			return err
		}
		e.sleep(wait)
	}
	return fmt.Errorf("the weight store refused the blob %d times because of its rate limit", maxLoadAttempts)
}

// tryFetchBlob reads the blob once. If the store refuses it because of its rate limit, it returns the time to wait
// before the next attempt.
func (e *Engine) tryFetchBlob(url string) (retryAfter time.Duration, err error) {
	req, err := http.NewRequestWithContext(e.ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, fmt.Errorf("create the request for the blob: %w", err)
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("request the blob: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusTooManyRequests {
		seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
		return min(max(time.Duration(seconds)*time.Second, 100*time.Millisecond), maxRetryAfter), nil
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("request the blob: the weight store responded with status %s", resp.Status)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		return 0, fmt.Errorf("read the blob after %d bytes: %w", n, err)
	}
	return 0, nil
}

func (e *Engine) switchTo(o Order) error {
	e.sleep(e.opts.SwitchTime)
	if e.faults.TakeFailSwitchOrder() {
		return fmt.Errorf("injected fault: the switch of the weight version failed")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.loadedVersions, o.Version) {
		return fmt.Errorf("switch to version %d: it is not loaded", o.Version)
	}
	e.currentVersion = o.Version
	return nil
}

func (e *Engine) unload(o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.currentVersion == o.Version {
		return fmt.Errorf("unload version %d: it is the current version", o.Version)
	}
	e.loadedVersions = slices.DeleteFunc(e.loadedVersions, func(v api.WeightVersion) bool { return v == o.Version })
	return nil
}
