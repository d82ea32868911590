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

// InjectFaults puts faults in force on a stand-in.
func (d *Deployment) InjectFaults(ctx context.Context, b *Backend, f standin.Faults) error {
	return d.post(ctx, b.Address, "/standin/v1/faults", f)
}

// AnnounceLeaving makes a backend server announce that it is leaving. Its process goes on.
func (d *Deployment) AnnounceLeaving(ctx context.Context, b *Backend) error {
	return d.post(ctx, b.Address, "/standin/v1/leave", struct{}{})
}

// PublishWeights puts a new version of the layout's model into the weight store.
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
		text, _ := io.ReadAll(io.LimitReader(resp.Body, tailBytes))
		return fmt.Errorf("post %s: %s: %s", path, resp.Status, text)
	}
	return nil
}

// serverView is the part of the JSON output of filbertledge servers that the harness reads.
type serverView struct {
	Usable bool `json:"usable"`
}

// WaitForServers waits until each entry VM knows all backend servers of the layout. A deployment serves before
// that, but its first requests wait for the first announcements.
func (d *Deployment) WaitForServers(ctx context.Context) error {
	for _, vm := range d.VMs {
		for {
			known, err := d.usableServers(ctx, vm)
			if err == nil && known == len(d.Backends()) {
				break
			}
			if sleepErr := sleep(ctx, serverPoll); sleepErr != nil {
				return errors.Join(fmt.Errorf("%s knows %d of %d backend servers: %w", vm.Name, known, len(d.Backends()), sleepErr), err)
			}
		}
	}
	return nil
}

const serverPoll = 100 * time.Millisecond

func (d *Deployment) usableServers(ctx context.Context, vm *VM) (int, error) {
	out, err := d.RunOperatorCommand(ctx, vm, "servers", "--output", "json")
	if err != nil {
		return 0, err
	}
	var list []serverView
	if err := json.Unmarshal([]byte(out), &list); err != nil {
		return 0, fmt.Errorf("decode the servers of %s: %w", vm.Name, err)
	}
	n := 0
	for _, s := range list {
		if s.Usable {
			n++
		}
	}
	return n, nil
}

// ReadLogs returns what a backend server saw over all its runs, also after its death.
func (b *Backend) ReadLogs() (standin.LogContent, error) {
	var all standin.LogContent
	var errsFound []error
	for _, file := range b.logFiles {
		c, err := standin.ReadLogFile(file)
		errsFound = append(errsFound, err)
		all.Requests = append(all.Requests, c.Requests...)
		all.Orders = append(all.Orders, c.Orders...)
	}
	return all, errors.Join(errsFound...)
}

// ReadLogs returns what all backend servers saw.
func (d *Deployment) ReadLogs() (standin.LogContent, error) {
	var all standin.LogContent
	var errsFound []error
	for _, b := range d.Backends() {
		c, err := b.ReadLogs()
		errsFound = append(errsFound, err)
		all.Requests = append(all.Requests, c.Requests...)
		all.Orders = append(all.Orders, c.Orders...)
	}
	return all, errors.Join(errsFound...)
}
