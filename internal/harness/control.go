package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/standin"
	"filbertledge/internal/standin/weightstore"
)

// InjectFaults activates faults on a stand-in.
func (d *Deployment) InjectFaults(ctx context.Context, b *Backend, f standin.Faults) error {
	return d.post(ctx, b.Address, "/standin/v1/faults", f)
}

// AnnounceLeaving makes a backend server announce that it is leaving. Its process keeps running.
func (d *Deployment) AnnounceLeaving(ctx context.Context, b *Backend) error {
	return d.post(ctx, b.Address, "/standin/v1/leave", struct{}{})
}

// PublishWeights adds a new version of the layout's model to the weight store.
func (d *Deployment) PublishWeights(ctx context.Context, version api.WeightVersion) error {
	v := weightstore.Version{Model: d.Layout.Model, Version: version}
	return d.post(ctx, d.Store.Address, "/standin/v1/publish", v)
}

func (d *Deployment) post(ctx context.Context, address, path string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode the body of %s: %w", path, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("post %s: %w", path, err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return fmt.Errorf("post %s: %w", path, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxQuotedBytes))
		return fmt.Errorf("post %s: %s: %s", path, resp.Status, text)
	}
	return nil
}

// serverView holds the fields that the harness reads from the output of `filbertledge servers --output json`.
type serverView struct {
	Usable bool `json:"usable"`
}

// WaitForServers waits until every entry VM lists all backend servers of the layout as usable. A deployment
// accepts requests before that, but they are queued until the first backend servers announce themselves.
func (d *Deployment) WaitForServers(ctx context.Context) error {
	for _, vm := range d.VMs {
		for {
			known, err := d.usableServers(ctx, vm)
			if err == nil && known == len(d.Backends()) {
				break
			}
			if sleepErr := sleep(ctx, serverPollInterval); sleepErr != nil {
				return errors.Join(fmt.Errorf("%s has %d of %d backend servers usable: %w", vm.Name, known, len(d.Backends()), sleepErr), err)
			}
		}
	}
	return nil
}

const serverPollInterval = 100 * time.Millisecond

func (d *Deployment) usableServers(ctx context.Context, vm *VM) (int, error) {
	out, err := d.RunOperatorCommand(ctx, vm, "servers", "--output", "json")
	if err != nil {
		return 0, err
	}
	var list []serverView
	if err := json.Unmarshal([]byte(out), &list); err != nil {
		return 0, fmt.Errorf("decode the server list of %s: %w", vm.Name, err)
	}
	n := 0
	for _, s := range list {
		if s.Usable {
			n++
		}
	}
	return n, nil
}

// ReadLogs returns the logged requests and orders of a backend server over all of its runs. The log survives a kill.
func (b *Backend) ReadLogs() (standin.LogContent, error) {
	var all standin.LogContent
	var errs []error
	for _, file := range b.logFiles {
		c, err := standin.ReadLogFile(file)
		errs = append(errs, err)
		all.Requests = append(all.Requests, c.Requests...)
		all.Orders = append(all.Orders, c.Orders...)
	}
	return all, errors.Join(errs...)
}

// ReadLogs returns the logged requests and orders of all backend servers.
func (d *Deployment) ReadLogs() (standin.LogContent, error) {
	var all standin.LogContent
	var errs []error
	for _, b := range d.Backends() {
		c, err := b.ReadLogs()
		errs = append(errs, err)
		all.Requests = append(all.Requests, c.Requests...)
		all.Orders = append(all.Orders, c.Orders...)
	}
	return all, errors.Join(errs...)
}
