package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"filbertledge/internal/api"
)

// SetShares changes the shares of VMs in the limits of rows. Restarts, acknowledgements and lower grants are
// applied before higher ones. A change that would let a row pass its limit is left out. Result.Count is the
// number of changes applied.
type SetShares struct {
	VMs []VMShareUpdate `cbor:"1,keyasint"`
}

// VMShareUpdate changes the shares of one incarnation of a VM. A newer incarnation than the known one drops all
// that the VM held; an older one changes nothing.
type VMShareUpdate struct {
	VM          api.VMID     `cbor:"1,keyasint"`
	Incarnation uint64       `cbor:"2,keyasint"`
	Acks        []ShareAck   `cbor:"3,keyasint,omitempty"`
	Grants      []ShareGrant `cbor:"4,keyasint,omitempty"`
}

// ShareAck says that a VM applied the grant of that number and has InFlight requests in flight under it.
type ShareAck struct {
	Row        api.RowName `cbor:"1,keyasint"`
	GrantIndex uint64      `cbor:"2,keyasint"`
	InFlight   int         `cbor:"3,keyasint"`
}

// ShareGrant sets what a VM may use of a row's limit.
type ShareGrant struct {
	Row     api.RowName `cbor:"1,keyasint"`
	Granted int         `cbor:"2,keyasint"`
}

// ReleaseShares frees all shares of an incarnation of a VM, which gets no new ones. A VM sends it at the end of
// its drain, when it has nothing in flight; an operator sends it for a VM whose process certainly has ended.
type ReleaseShares struct {
	VM          api.VMID `cbor:"1,keyasint"`
	Incarnation uint64   `cbor:"2,keyasint"`
}

// Share is the part of a row's limit that a VM has.
type Share struct {
	Row     api.RowName `cbor:"1,keyasint"`
	Granted int         `cbor:"2,keyasint"` // what the VM may use
	// Reserved is the most that the VM may have in flight. It is above Granted from the time at which a share is
	// lowered until the VM has acknowledged that.
	Reserved   int    `cbor:"3,keyasint"`
	GrantIndex uint64 `cbor:"4,keyasint"` // index of the command that set Granted
}

// vmShares are the shares of the newest known incarnation of a VM.
type vmShares struct {
	incarnation uint64
	version     uint64    // index of the last change
	at          time.Time // of the last change
	released    bool
	// rows is sorted by row. It is replaced, never changed in place, as readers and snapshots share it.
	rows []Share
}

// findShare returns the position of a row in a list of shares sorted by row.
func findShare(list []Share, row api.RowName) (int, bool) {
	return slices.BinarySearchFunc(list, row, func(s Share, row api.RowName) int { return cmp.Compare(s.Row, row) })
}

// shareIn returns the share of a row, or a share of 0.
func shareIn(list []Share, row api.RowName) (Share, bool) {
	if i, ok := findShare(list, row); ok {
		return list[i], true
	}
	return Share{Row: row}, false
}

// releasedRetention is how long a VM without shares is remembered, so that it hears that it has none.
const releasedRetention = 24 * time.Hour

// shareOwner returns the shares of an incarnation of a VM, or nil if a newer one is known.
func (s *state) shareOwner(vm api.VMID, incarnation uint64) *vmShares {
	v := s.shares[vm]
	if v != nil && v.incarnation > incarnation {
		return nil
	}
	if v == nil || v.incarnation < incarnation {
		v = &vmShares{incarnation: incarnation}
		s.shares[vm] = v
		s.touch(v)
	}
	return v
}

func (s *state) touch(v *vmShares) {
	v.version, v.at, s.sharesVersion = s.index, s.now, s.index
}

func (s *state) setShares(c SetShares) Result {
	count := 0
	for _, u := range c.VMs {
		if v := s.shareOwner(u.VM, u.Incarnation); v != nil {
			count += s.lowerShares(v, u)
		}
	}
	held := s.heldByRow()
	for _, u := range c.VMs {
		if v := s.shareOwner(u.VM, u.Incarnation); v != nil && !v.released {
			count += s.raiseShares(v, u.Grants, held)
		}
	}
	s.pruneShares()
	return Result{Count: count, Accepted: true}
}

// heldByRow sums what the VMs hold of each row.
func (s *state) heldByRow() map[api.RowName]int {
	held := map[api.RowName]int{}
	for _, v := range s.shares {
		for _, share := range v.rows {
			held[share.Row] += share.Reserved
		}
	}
	return held
}

func (s *state) lowerShares(v *vmShares, u VMShareUpdate) int {
	count := 0
	for _, a := range u.Acks {
		share, ok := shareIn(v.rows, a.Row)
		if bound := max(share.Granted, a.InFlight); ok && a.GrantIndex == share.GrantIndex && bound < share.Reserved {
			share.Reserved = bound
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

// raiseShares applies the grants that are higher than the present ones. What a VM already holds is not counted
// again, so that a share can be given back before its decrease was acknowledged.
func (s *state) raiseShares(v *vmShares, grants []ShareGrant, held map[api.RowName]int) int {
	count := 0
	for _, g := range grants {
		share, _ := shareIn(v.rows, g.Row)
		if g.Granted <= share.Granted {
			continue
		}
		more := max(0, g.Granted-share.Reserved)
		if row, ok := s.table.Row(g.Row); !ok || held[g.Row]+more > row.MaxInFlight {
			continue
		}
		held[g.Row] += more
		s.putShare(v, Share{Row: g.Row, Granted: g.Granted, Reserved: share.Reserved + more, GrantIndex: s.index})
		count++
	}
	return count
}

// putShare stores a share. One that is neither granted nor held is dropped.
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
	s.touch(v)
}

func (s *state) releaseShares(c ReleaseShares) Result {
	v := s.shareOwner(c.VM, c.Incarnation)
	if v == nil || v.released {
		return Result{Accepted: true}
	}
	count := len(v.rows)
	v.released = true
	v.rows = nil
	s.touch(v)
	return Result{Count: count, Accepted: true}
}

func (s *state) pruneShares() {
	for id, v := range s.shares {
		if len(v.rows) == 0 && s.now.Sub(v.at) > releasedRetention {
			delete(s.shares, id)
		}
	}
}

// sharesOf returns the shares of an incarnation of a VM by row, and the version of the last change to them.
func (s *state) sharesOf(vm api.VMID, incarnation uint64) (uint64, []Share) {
	v := s.shares[vm]
	if v == nil || v.incarnation != incarnation {
		return 0, nil
	}
	return v.version, v.rows
}

// sharesVersionOf returns the version of the last change to the shares of an incarnation of a VM.
func (s *state) sharesVersionOf(vm api.VMID, incarnation uint64) uint64 {
	if v := s.shares[vm]; v != nil && v.incarnation == incarnation {
		return v.version
	}
	return 0
}

// VMShares are the shares of one incarnation of a VM.
type VMShares struct {
	VM          api.VMID
	Incarnation uint64
	Released    bool
	Shares      []Share // by row; must not be changed
}

// Shares returns the shares of all VMs, by VM.
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

type savedShares struct {
	VM          api.VMID  `cbor:"1,keyasint"`
	Incarnation uint64    `cbor:"2,keyasint"`
	Version     uint64    `cbor:"3,keyasint"`
	At          time.Time `cbor:"4,keyasint"`
	Released    bool      `cbor:"5,keyasint,omitempty"`
	Shares      []Share   `cbor:"6,keyasint,omitempty"`
}

func (s *state) saveShares() []savedShares {
	var out []savedShares
	for _, id := range slices.Sorted(maps.Keys(s.shares)) {
		v := s.shares[id]
		out = append(out, savedShares{
			VM: id, Incarnation: v.incarnation, Version: v.version, At: v.at, Released: v.released, Shares: v.rows,
		})
	}
	return out
}

func (s *state) loadShares(saved []savedShares) {
	for _, one := range saved {
		v := &vmShares{
			incarnation: one.Incarnation, version: one.Version, at: one.At, released: one.Released, rows: one.Shares,
		}
		s.shares[one.VM] = v
		s.sharesVersion = max(s.sharesVersion, v.version)
	}
}
