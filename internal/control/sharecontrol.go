package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"filbertledge/internal/api"
)

// RowLoad is the number of requests of a row on a VM.
type RowLoad struct {
	Row      api.RowName
	InFlight int // sent to backend servers
	Waiting  int
}

// ShareReport is the demand of a VM for a row and, if GrantIndex is set, its acknowledgement of that grant. Rows
// without demand and without an unacknowledged decrease are omitted.
type ShareReport struct {
	Row api.RowName `cbor:"1,keyasint"`
	// GrantIndex identifies the grant that was in force when InFlight was measured. It is sent only while the decrease
	// of a share is unacknowledged.
	GrantIndex uint64 `cbor:"2,keyasint,omitempty"`
	InFlight   int    `cbor:"3,keyasint,omitempty"`
	Waiting    int    `cbor:"4,keyasint,omitempty"`
}

// RowShareReports holds the reports for a row that a replica forwards to the leader. Reports are grouped by row
// because row names would otherwise make up most of the message.
type RowShareReports struct {
	Row api.RowName `cbor:"1,keyasint"`
	VMs []VMReport  `cbor:"2,keyasint"`
}

// VMReport is the ShareReport of one VM, encoded as an array.
type VMReport struct {
	_        struct{} `cbor:",toarray"`
	VM       int      // index into PresenceRequest.VMs
	Grant    uint64
	InFlight int
	Waiting  int
}

// shareReports holds the latest report of each VM. It is guarded by Server.mu.
type shareReports map[api.VMID]receivedReport

type receivedReport struct {
	incarnation uint64
	at          time.Duration
	rows        []ShareReport
}

const (
	// demandCollectionPeriod is how long a new leader collects reports of demand before it changes shares.
	demandCollectionPeriod = 3 * presenceInterval
	// shareRotationPeriod is how long VMs keep their share when there are fewer shares than VMs with demand.
	shareRotationPeriod = 5 * time.Second
	// shareTimeout is the timeout for proposing the SetShares command of a round.
	shareTimeout = time.Second
)

func (r shareReports) observe(vm api.VMID, h receivedReport) {
	old, ok := r[vm]
	if ok && (old.incarnation > h.incarnation || old.incarnation == h.incarnation && old.at > h.at) {
		return
	}
	r[vm] = h
}

func (r shareReports) dropExpired(now time.Duration) {
	maps.DeleteFunc(r, func(_ api.VMID, h receivedReport) bool { return now-h.at > sightingRetention })
}

// byRow returns the reports of the listed VMs, grouped by row.
func (r shareReports) byRow(list []api.VM) []RowShareReports {
	rows := map[api.RowName][]VMReport{}
	for i, vm := range list {
		for _, s := range reportsOf(r[vm.ID], vm.Incarnation) {
			rows[s.Row] = append(rows[s.Row], VMReport{VM: i, Grant: s.GrantIndex, InFlight: s.InFlight, Waiting: s.Waiting})
		}
	}
	var out []RowShareReports
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		out = append(out, RowShareReports{Row: name, VMs: rows[name]})
	}
	return out
}

// observeForwarded records the reports that another replica forwarded. VMs in the request without a report have no
// demand.
func (r shareReports) observeForwarded(q PresenceRequest, now time.Duration) {
	rows := make([][]ShareReport, len(q.VMs))
	for _, row := range q.ShareReports {
		for _, v := range row.VMs {
			if v.VM >= 0 && v.VM < len(rows) {
				rows[v.VM] = append(rows[v.VM], ShareReport{Row: row.Row, GrantIndex: v.Grant, InFlight: v.InFlight, Waiting: v.Waiting})
			}
		}
	}
	for i, vm := range q.VMs {
		r.observe(vm.ID, receivedReport{incarnation: vm.Incarnation, at: now - max(vm.SinceLastSeen, 0), rows: rows[i]})
	}
}

// shareRound plans the shares of all rows and proposes the changes. A failure is only logged: the next round plans
// again.
func (s *Server) shareRound(ctx context.Context, now time.Duration) {
	s.mu.Lock()
	ready := s.presence.leading && now-s.presence.leaderSince >= demandCollectionPeriod
	s.reports.dropExpired(now)
	list, reports := s.presence.vmList, maps.Clone(s.reports)
	s.mu.Unlock()
	if !ready {
		return
	}
	c := planShares(s.opts.Machine, list, reports, int(now/shareRotationPeriod))
	if len(c.VMs) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	if _, err := s.propose(ctx, Command{SetShares: &c}); err != nil {
		s.opts.Events.Log().WithError(err).Debug("proposing new shares failed")
	}
}

// mayBeUnlimited reports whether a VM may still use a table in which the row has no limit. Such a VM does not report
// its requests in flight yet.
func (m *StateMachine) mayBeUnlimited(name api.RowName, list []api.VM) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	entry := m.state.rows[name]
	if entry == nil || !slices.ContainsFunc(entry.history, func(h historyEntry) bool {
		return !h.Row.Deleted && h.Row.MaxInFlight == 0
	}) {
		return false
	}
	return slices.ContainsFunc(list, func(vm api.VM) bool { return vm.TableVersion < entry.lastEditIndex })
}

// sharePlanner computes the SetShares command of one round.
type sharePlanner struct {
	vms     []plannedVM // ordered by id
	updates map[api.VMID]*VMShareUpdate
}

type plannedVM struct {
	id          api.VMID
	incarnation uint64
	present     bool
	shares      []Share       // ordered by row
	reports     []ShareReport // ordered by row
}

func planShares(m *StateMachine, list []api.VM, reports shareReports, epoch int) SetShares {
	p := newSharePlanner(m.Shares(), list, reports)
	p.acknowledge()
	rows := map[api.RowName]int{}
	for _, v := range p.vms {
		for _, share := range v.shares {
			rows[share.Row] = 0 // a row that was deleted or has lost its limit: take back all shares
		}
	}
	for _, row := range m.Table().SortedRows() {
		switch {
		case row.MaxInFlight == 0:
		case m.mayBeUnlimited(row.Name, list):
			delete(rows, row.Name)
		default:
			rows[row.Name] = row.MaxInFlight
		}
	}
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		p.planRow(name, rows[name], epoch)
	}
	return p.command()
}

func newSharePlanner(known []VMShares, list []api.VM, reports shareReports) *sharePlanner {
	byID, released := map[api.VMID]plannedVM{}, map[api.VMID]bool{}
	for _, k := range known {
		v := plannedVM{id: k.VM, incarnation: k.Incarnation, shares: k.Shares}
		released[k.VM] = k.Released
		byID[k.VM] = v
	}
	for _, vm := range list {
		v, ok := byID[vm.ID]
		if v.incarnation > vm.Incarnation || ok && v.incarnation == vm.Incarnation && released[vm.ID] {
			continue
		}
		if !ok || v.incarnation < vm.Incarnation {
			v = plannedVM{id: vm.ID, incarnation: vm.Incarnation}
		}
		v.present, v.reports = true, reportsOf(reports[vm.ID], vm.Incarnation)
		byID[vm.ID] = v
	}
	p := &sharePlanner{updates: map[api.VMID]*VMShareUpdate{}}
	for _, k := range known {
		if v := byID[k.VM]; v.incarnation > k.Incarnation && len(k.Shares) > 0 {
			p.update(v) // frees the shares of the earlier incarnation
		}
	}
	p.vms = slices.SortedFunc(maps.Values(byID), func(a, b plannedVM) int { return cmp.Compare(a.id, b.id) })
	return p
}

// reportsOf returns the reports of an incarnation, sorted by row. They come from another process and may be unsorted.
func reportsOf(h receivedReport, incarnation uint64) []ShareReport {
	byRow := func(a, b ShareReport) int { return cmp.Compare(a.Row, b.Row) }
	if h.incarnation != incarnation {
		return nil
	}
	if slices.IsSortedFunc(h.rows, byRow) {
		return h.rows
	}
	return slices.SortedStableFunc(slices.Values(h.rows), byRow)
}

func (v plannedVM) report(row api.RowName) ShareReport {
	i, ok := slices.BinarySearchFunc(v.reports, row, func(r ShareReport, row api.RowName) int { return cmp.Compare(r.Row, row) })
	if !ok {
		return ShareReport{Row: row}
	}
	return v.reports[i]
}

func (p *sharePlanner) update(v plannedVM) *VMShareUpdate {
	u := p.updates[v.id]
	if u == nil {
		u = &VMShareUpdate{VM: v.id, Incarnation: v.incarnation}
		p.updates[v.id] = u
	}
	return u
}

// acknowledge adds the acknowledgements that free part of a share to the command, and updates the planned shares
// accordingly.
func (p *sharePlanner) acknowledge() {
	for i, v := range p.vms {
		planned := slices.Clone(v.shares)
		for _, report := range v.reports {
			at, ok := findShare(planned, report.Row)
			if !ok {
				continue
			}
			share := planned[at]
			newReserved := max(share.Granted, report.InFlight)
			if report.GrantIndex != share.GrantIndex || newReserved >= share.Reserved {
				continue
			}
			u := p.update(v)
			u.Acks = append(u.Acks, ShareAck{Row: report.Row, GrantIndex: report.GrantIndex, InFlight: report.InFlight})
			planned[at].Reserved = newReserved
		}
		p.vms[i].shares = planned
	}
}

func (p *sharePlanner) planRow(name api.RowName, limit, epoch int) {
	vms := make([]vmRowShare, len(p.vms))
	for i, v := range p.vms {
		share, _ := shareIn(v.shares, name)
		report := v.report(name)
		vms[i] = vmRowShare{
			present: v.present, demand: report.InFlight + report.Waiting, inFlight: report.InFlight,
			granted: share.Granted, reserved: share.Reserved,
		}
	}
	for i, granted := range planRow(limit, vms, epoch) {
		if granted != vms[i].granted {
			u := p.update(p.vms[i])
			u.Grants = append(u.Grants, ShareGrant{Row: name, Granted: granted})
		}
	}
}

func (p *sharePlanner) command() SetShares {
	var c SetShares
	for _, id := range slices.Sorted(maps.Keys(p.updates)) {
		c.VMs = append(c.VMs, *p.updates[id])
	}
	return c
}
