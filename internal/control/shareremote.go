package control

import (
	"cmp"
	"context"
	"slices"

	"filbertledge/internal/api"
)

// Share returns how many requests of a row this VM may have in flight, or 0 if it has no share. known is false until a
// replica has answered. A VM that is cut off from the replicas keeps its last share.
func (r *RemoteClient) Share(row api.RowName) (granted int, known bool) {
	v := r.view.Load()
	if r.released.Load() {
		return 0, true
	}
	return v.shares[row].Granted, v.sharesKnown
}

// ReleaseShares stops this VM from using its shares and frees them for other VMs. From then on Share returns 0; wait
// must return once the VM has nothing in flight. If wait fails, the shares stay reserved for this VM.
func (r *RemoteClient) ReleaseShares(ctx context.Context, wait func(context.Context) error) error {
	r.released.Store(true)
	if err := wait(ctx); err != nil {
		return err
	}
	_, err := r.Do(ctx, Command{ReleaseShares: &ReleaseShares{VM: r.opts.VM.ID, Incarnation: r.opts.VM.Incarnation}})
	return err
}

// unacknowledged returns the index of the grant if the VM still has to acknowledge it, and 0 otherwise.
func (s Share) unacknowledged() uint64 {
	if s.Reserved > s.Granted {
		return s.GrantIndex
	}
	return 0
}

// shareReport returns the load of this VM under the shares of v. The load is measured after v came into force, so the
// report also acknowledges the grants of v.
func (r *RemoteClient) shareReport(v *clientView) []ShareReport {
	var out []ShareReport
	reported := map[api.RowName]bool{}
	for _, load := range r.loads() {
		row, ok := v.table.Row(load.Row)
		share, held := v.shares[load.Row]
		reported[load.Row] = true
		limited := ok && row.MaxInFlight > 0 && load.InFlight+load.Waiting > 0
		if limited || held && share.Reserved > share.Granted {
			out = append(out, ShareReport{Row: load.Row, GrantIndex: share.unacknowledged(), InFlight: load.InFlight, Waiting: load.Waiting})
		}
	}
	for name, share := range v.shares {
		if share.Reserved > share.Granted && !reported[name] {
			out = append(out, ShareReport{Row: name, GrantIndex: share.GrantIndex})
		}
	}
	slices.SortFunc(out, func(a, b ShareReport) int { return cmp.Compare(a.Row, b.Row) })
	return out
}

func (r *RemoteClient) loads() []RowLoad {
	if r.opts.Loads == nil {
		return nil
	}
	return r.opts.Loads()
}

// applyShares applies the shares of a response unless they are older than the current ones.
func (v *clientView) applyShares(a WatchResponse) {
	v.sharesKnown = true
	if a.SharesVersion <= v.sharesVersion {
		return
	}
	v.sharesVersion = a.SharesVersion
	v.shares = make(map[api.RowName]Share, len(a.Shares))
	for _, share := range a.Shares {
		v.shares[share.Row] = share
	}
}
