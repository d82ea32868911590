package control

import (
	"cmp"
	"context"
	"slices"

	"filbertledge/internal/api"
)

// Share returns how many requests of a row this VM may have in flight; 0 if it has no share. Known is false
// until a replica has answered. A VM that is cut off keeps its last share.
func (r *RemoteClient) Share(row api.RowName) (granted int, known bool) {
	v := r.view.Load()
	if r.released.Load() {
		return 0, true
	}
	return v.shares[row].Granted, v.sharesKnown
}

// ReleaseShares ends the use of shares by this VM and frees them for others. Wait is called once Share returns
// 0 and must return when the VM has nothing in flight; on its error the shares stay with the VM.
func (r *RemoteClient) ReleaseShares(ctx context.Context, wait func(context.Context) error) error {
	r.released.Store(true)
	if err := wait(ctx); err != nil {
		return err
	}
	_, err := r.Do(ctx, Command{ReleaseShares: &ReleaseShares{VM: r.o.VM.ID, Incarnation: r.o.VM.Incarnation}})
	return err
}

// unacknowledged returns the number of the grant if the VM has to acknowledge it, or else 0.
func (s Share) unacknowledged() uint64 {
	if s.Reserved > s.Granted {
		return s.GrantIndex
	}
	return 0
}

// shareReport describes the VM's load under the shares of v. The loads are counted after v is in force, which
// makes them an acknowledgement of its grants.
func (r *RemoteClient) shareReport(v *remoteView) []ShareReport {
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
	if r.o.Loads == nil {
		return nil
	}
	return r.o.Loads()
}

// takeShares takes over the shares of an answer. Those of an older state than the one held are left out.
func (v *remoteView) takeShares(a WatchResponse) {
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
