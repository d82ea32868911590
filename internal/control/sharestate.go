package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"filbertledge/internal/api"
)

// SetShares changes the shares of VMs in the concurrency limits of rows. Restarts, acknowledgements and decreases are
// applied before increases. An increase that would exceed the limit of its row is skipped. Result.Count is the number
// of changes applied.
type SetShares struct {
	VMs []VMShareUpdate `cbor:"1,keyasint"`
}

// VMShareUpdate changes the shares of one incarnation of a VM. An incarnation newer than the known one frees all
// shares of the VM; an older one changes nothing.
type VMShareUpdate struct {
	VM          api.VMID     `cbor:"1,keyasint"`
	Incarnation uint64       `cbor:"2,keyasint"`
	Acks        []ShareAck   `cbor:"3,keyasint,omitempty"`
	Grants      []ShareGrant `cbor:"4,keyasint,omitempty"`
}

// ShareAck states that a VM has applied the grant with that index and has InFlight requests in flight under it.
type ShareAck struct {
	Row        api.RowName `cbor:"1,keyasint"`
	GrantIndex uint64      `cbor:"2,keyasint"`
	InFlight   int         `cbor:"3,keyasint"`
}

// ShareGrant sets the amount of the limit of a row that a VM may use.
type ShareGrant struct {
	Row     api.RowName `cbor:"1,keyasint"`
	Granted int         `cbor:"2,keyasint"`
}

// ReleaseShares frees all shares of an incarnation of a VM, which then receives no new ones. A VM sends it at the end
// of its drain, when it has nothing in flight; an operator sends it for a VM whose process has certainly ended.
type ReleaseShares struct {
	VM          api.VMID `cbor:"1,keyasint"`
	Incarnation uint64   `cbor:"2,keyasint"`
}

// Share is the part of the concurrency limit of a row that is assigned to a VM.
type Share struct {
	Row     api.RowName `cbor:"1,keyasint"`
	Granted int         `cbor:"2,keyasint"` // requests that the VM may have in flight
	// Reserved is the maximum that the VM may actually have in flight. After a decrease it stays above Granted until
	// the VM has acknowledged the decrease.
	Reserved   int    `cbor:"3,keyasint"`
	GrantIndex uint64 `cbor:"4,keyasint"` // log index of the command that set Granted
}

// vmShares holds the shares of the newest known incarnation of a VM.
type vmShares struct {
	incarnation uint64
	version     uint64    // log index of the last change
	at          time.Time // time of the last change
	released    bool
	// rows is sorted by row. It is replaced, never modified in place, because readers and snapshots share it.
	rows []Share
}

// findShare returns the index of a row in a list of shares that is sorted by row.
func findShare(list []Share, row api.RowName) (int, bool) {
	return slices.BinarySearchFunc(list, row, func(s Share, row api.RowName) int { return cmp.Compare(s.Row, row) })
}

// shareIn returns the share of a row, or an empty share.
func shareIn(list []Share, row api.RowName) (Share, bool) {
	if i, ok := findShare(list, row); ok {
		return list[i], true
	}
	return Share{Row: row}, false
}

// emptySharesRetention is how long a VM without shares is remembered, so that it can learn that it has none.
const emptySharesRetention = 24 * time.Hour

// shareOwner returns the shares of an incarnation of a VM, creating them if the incarnation is new. It returns nil if
// a newer incarnation is known.
func (s *state) shareOwner(vm api.VMID, incarnation uint64) *vmShares {
	v := s.shares[vm]
	if v != nil && v.incarnation > incarnation {
		return nil
	}
	if v == nil || v.incarnation < incarnation {
		v = &vmShares{incarnation: incarnation}
		s.shares[vm] = v
		s.markChanged(v)
	}
	return v
}

func (s *state) markChanged(v *vmShares) {
	v.version, v.at, s.sharesVersion = s.index, s.now, s.index
}

func (s *state) setShares(c SetShares) Result {
	count := 0
	for _, u := range c.VMs {
		if v := s.shareOwner(u.VM, u.Incarnation); v != nil {
			count += s.lowerShares(v, u)
		}
	}
	reserved := s.reservedByRow()
	for _, u := range c.VMs {
		if v := s.shareOwner(u.VM, u.Incarnation); v != nil && !v.released {
			count += s.raiseShares(v, u.Grants, reserved)
		}
	}
	s.pruneShares()
	return Result{Count: count, Accepted: true}
}

// reservedByRow returns the sum of the reserved shares of all VMs for each row.
func (s *state) reservedByRow() map[api.RowName]int {
	reserved := map[api.RowName]int{}
	for _, v := range s.shares {
		for _, share := range v.rows {
			reserved[share.Row] += share.Reserved
		}
	}
	return reserved
}

// lowerShares applies the acknowledgements and the grants that are lower than the current ones.
func (s *state) lowerShares(v *vmShares, u VMShareUpdate) int {
	count := 0
	for _, a := range u.Acks {
		share, ok := shareIn(v.rows, a.Row)
		if newReserved := max(share.Granted, a.InFlight); ok && a.GrantIndex == share.GrantIndex && newReserved < share.Reserved {
			share.Reserved = newReserved
			s.putShare(v, share)
			count++
		}
	}
	for _, g := range u.Grants {
		if share, ok := shareIn(v.rows, g.Row); ok && g.Granted >= 0 && g.Granted < share.Granted {
			share.Granted, share.GrantIndex = g.Granted, s.index
			s.putShare(v, share)
			count++
		}
	}
	return count
}

// raiseShares applies the grants that are higher than the current ones. What is already reserved for a VM does not
// count again, so a VM can get a share back before it has acknowledged its decrease.
func (s *state) raiseShares(v *vmShares, grants []ShareGrant, reserved map[api.RowName]int) int {
	count := 0
	for _, g := range grants {
		share, _ := shareIn(v.rows, g.Row)
		if g.Granted <= share.Granted {
			continue
		}
		more := max(0, g.Granted-share.Reserved)
		if row, ok := s.table.Row(g.Row); !ok || reserved[g.Row]+more > row.MaxInFlight {
			continue
		}
		reserved[g.Row] += more
		s.putShare(v, Share{Row: g.Row, Granted: g.Granted, Reserved: share.Reserved + more, GrantIndex: s.index})
		count++
	}
	return count
}

// putShare stores a share, or deletes it if nothing is reserved.
func (s *state) putShare(v *vmShares, share Share) {
	i, found := findShare(v.rows, share.Row)
	end := i
	if found {
		end++
	}
	if share.Reserved == 0 {
		v.rows = slices.Concat(v.rows[:i], v.rows[end:])
	} else {
		v.rows = slices.Concat(v.rows[:i], []Share{share}, v.rows[end:])
	}
	s.markChanged(v)
}

func (s *state) releaseShares(c ReleaseShares) Result {
	v := s.shareOwner(c.VM, c.Incarnation)
	if v == nil || v.released {
		return Result{Accepted: true}
	}
	count := len(v.rows)
	v.released = true
	v.rows = nil
	s.markChanged(v)
	return Result{Count: count, Accepted: true}
}

func (s *state) pruneShares() {
	for id, v := range s.shares {
		if len(v.rows) == 0 && s.now.Sub(v.at) > emptySharesRetention {
			delete(s.shares, id)
		}
	}
}

// sharesOf returns the shares of an incarnation of a VM, ordered by row, and the version of their last change.
func (s *state) sharesOf(vm api.VMID, incarnation uint64) (uint64, []Share) {
	v := s.shares[vm]
	if v == nil || v.incarnation != incarnation {
		return 0, nil
	}
	return v.version, v.rows
}

// sharesVersionOf returns the version of the last change of the shares of an incarnation of a VM.
func (s *state) sharesVersionOf(vm api.VMID, incarnation uint64) uint64 {
	if v := s.shares[vm]; v != nil && v.incarnation == incarnation {
		return v.version
	}
	return 0
}

// VMShares holds the shares of one incarnation of a VM.
type VMShares struct {
	VM          api.VMID
	Incarnation uint64
	Released    bool
	Shares      []Share // ordered by row; must not be modified
}

// Shares returns the shares of all VMs, ordered by VM id.
func (m *StateMachine) Shares() []VMShares {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make([]VMShares, 0, len(m.state.shares))
	for _, id := range slices.Sorted(maps.Keys(m.state.shares)) {
		v := m.state.shares[id]
		out = append(out, VMShares{VM: id, Incarnation: v.incarnation, Released: v.released, Shares: v.rows})
	}
	return out
}

type snapshotShares struct {
	VM          api.VMID  `cbor:"1,keyasint"`
	Incarnation uint64    `cbor:"2,keyasint"`
	Version     uint64    `cbor:"3,keyasint"`
	At          time.Time `cbor:"4,keyasint"`
	Released    bool      `cbor:"5,keyasint,omitempty"`
	Shares      []Share   `cbor:"6,keyasint,omitempty"`
}

func (s *state) snapshotVMShares() []snapshotShares {
	var out []snapshotShares
	for _, id := range slices.Sorted(maps.Keys(s.shares)) {
		v := s.shares[id]
		out = append(out, snapshotShares{
			VM: id, Incarnation: v.incarnation, Version: v.version, At: v.at, Released: v.released, Shares: v.rows,
		})
	}
	return out
}

func (s *state) restoreShares(saved []snapshotShares) {
	for _, one := range saved {
		v := &vmShares{
			incarnation: one.Incarnation, version: one.Version, at: one.At, released: one.Released, rows: one.Shares,
		}
		s.shares[one.VM] = v
		s.sharesVersion = max(s.sharesVersion, v.version)
	}
}
