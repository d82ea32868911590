package ratelimit

import (
	"math"
	"sync"
	"time"
)

const (
	// minPerSecond is the lowest rate at which a limited server receives requests: without any, no VM would learn that
	// the limit is withdrawn.
	minPerSecond = 0.25
	// burstTime is the time for which permissions that nobody uses accumulate, in addition to burstRequests. In any 4 s a
	// server receives the permissions of 4 s and of burstTime, the spare ones of PermissionLifetime, and burstRequests:
	// less than one and a half times its limit and 5 requests, which the users' rule allows.
	burstTime     = 1500 * time.Millisecond
	burstRequests = 3
	// PermissionLifetime is how long after it was asked for a permission may be used. A VM that was suspended meanwhile
	// must ask again.
	PermissionLifetime = 500 * time.Millisecond
	// spareDivisor is the divisor of the unused permissions that gives those a VM gets beyond the one it asked for, so
	// that limits far above the load cost few calls.
	spareDivisor = 4
	// lostAfter is the time without contact after which the leader leaves a VM its share of the limits, and OwnShareAfter
	// the longer time after which the VM uses it. A VM in contact reports within FollowPollTimeout and the round trip
	// that it heard from the leader at the start of its previous, equally long call.
	lostAfter     = 2500 * time.Millisecond
	OwnShareAfter = 3500 * time.Millisecond
	// memberCountInterval is the time between two counts of the members. A pass of the scheduler asks for the rates of all
	// engines for each waiting item.
	memberCountInterval = 100 * time.Millisecond
	// memberRetention is how long a VM without contact counts as a member.
	memberRetention = time.Minute
)

// bucket holds the permissions of a limited server. Their number is negative while requests wait for one.
type bucket struct {
	permissions float64
	at          time.Duration // boot time of the last update
}

func (b *bucket) refill(perSecond float64, now time.Duration) {
	if elapsed := now - b.at; elapsed > 0 {
		b.permissions += perSecond * elapsed.Seconds()
		b.at = now
	}
	b.permissions = min(b.permissions, burstRequests+perSecond*burstTime.Seconds())
}

// waitFor returns the time until the bucket holds a permission.
func (b *bucket) waitFor(perSecond float64) time.Duration {
	if b.permissions >= 1 {
		return 0
	}
	return time.Duration((1 - b.permissions) / perSecond * float64(time.Second))
}

// Grant is the answer to a request for a permission.
type Grant struct {
	// Server is the server to which the request may be sent; empty if there is no permission within the time allowed.
	Server string `cbor:"1,keyasint,omitempty"`
	// Wait is how long the request must wait before it is sent or, without a Server, how long until some server has a
	// permission.
	Wait time.Duration `cbor:"2,keyasint,omitempty"`
	// Spare is the number of further requests that the VM may send to the server within PermissionLifetime.
	Spare int `cbor:"3,keyasint,omitempty"`
}

// Allocator gives out the permissions to send requests to limited servers, for all VMs. The leader has one for each
// leadership, which starts without permissions, so that two leaders together do not exceed a limit. It is safe for
// concurrent use.
type Allocator struct {
	table *Table

	mu      sync.Mutex
	buckets map[string]*bucket
	members members
}

// NewAllocator returns an allocator for the limits in table.
func NewAllocator(table *Table, now time.Duration) *Allocator {
	return &Allocator{table: table, buckets: map[string]*bucket{}, members: members{since: now, contactAt: map[string]time.Duration{}}}
}

// Contact records that a VM, which forwards requests, last heard from the leader the given time ago, and how many
// members it was told of.
func (a *Allocator) Contact(vm string, age time.Duration, known int, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.members.contact(vm, age, known, now)
}

// Members returns the number of VMs among which the limits are divided while they have no contact with the leader.
func (a *Allocator) Members(now time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	total, _ := a.members.count(now)
	return total
}

// rate returns the limit of a server less the shares of the VMs without contact, in requests a second, and whether it
// has a limit. The caller holds the mutex.
func (a *Allocator) rate(server string, now time.Duration) (float64, bool) {
	perSecond, limited := a.table.Get(server)
	if !limited {
		delete(a.buckets, server)
		return 0, false
	}
	perSecond = max(perSecond, minPerSecond)
	if total, inContact := a.members.count(now); total > inContact {
		perSecond *= float64(max(inContact, 1)) / float64(total)
	}
	return perSecond, true
}

// bucket returns the refilled bucket of a server. The caller holds the mutex.
func (a *Allocator) bucket(server string, perSecond float64, now time.Duration) *bucket {
	b := a.buckets[server]
	if b == nil {
		b = &bucket{at: now}
		a.buckets[server] = b
	}
	b.refill(perSecond, now)
	return b
}

// Reserve gives a permission to send one request to one of the servers, which are ordered by preference: to the first
// that has one now or else, if it is at most maxWait, to the one with the shortest wait.
func (a *Allocator) Reserve(servers []string, maxWait, now time.Duration) Grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	var best *bucket
	var grant Grant
	for i, server := range servers {
		perSecond, limited := a.rate(server, now)
		if !limited {
			return Grant{Server: server}
		}
		b := a.bucket(server, perSecond, now)
		if wait := b.waitFor(perSecond); i == 0 || wait < grant.Wait {
			best, grant = b, Grant{Server: server, Wait: wait}
		}
		if grant.Wait == 0 {
			break
		}
	}
	if best == nil || grant.Wait > maxWait {
		return Grant{Wait: grant.Wait}
	}
	best.permissions--
	if _, inContact := a.members.count(now); best.permissions > 0 {
		grant.Spare = int(best.permissions) / (spareDivisor * max(inContact, 1))
		best.permissions -= float64(grant.Spare)
	}
	return grant
}

// Take takes a permission for one request to a server if there is one now, and reports whether it did. A server without
// a limit always has one.
func (a *Allocator) Take(server string, now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.limitedBucket(server, now)
	if b == nil {
		return true
	}
	if b.permissions < 1 {
		return false
	}
	b.permissions--
	return true
}

// Left returns how many requests may be sent to a server now.
func (a *Allocator) Left(server string, now time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.limitedBucket(server, now)
	if b == nil {
		return math.MaxInt
	}
	return max(int(b.permissions), 0)
}

// limitedBucket returns the refilled bucket of a server, or nil if the server has no limit. The caller holds the mutex.
func (a *Allocator) limitedBucket(server string, now time.Duration) *bucket {
	perSecond, limited := a.rate(server, now)
	if !limited {
		return nil
	}
	return a.bucket(server, perSecond, now)
}

// members are the VMs that forward requests.
type members struct {
	since     time.Duration            // boot time from which members are counted
	contactAt map[string]time.Duration // boot time of the last contact, by VM
	known     int                      // highest number that a VM was told by an earlier leader

	counted          bool
	countedAt        time.Duration
	total, inContact int // as counted last
}

func (m *members) contact(vm string, age time.Duration, known int, now time.Duration) {
	if _, member := m.contactAt[vm]; !member {
		m.counted = false
	}
	m.contactAt[vm] = max(m.contactAt[vm], now-max(age, 0))
	if now-m.since < memberRetention {
		m.known = max(m.known, known)
	}
}

// count returns the number of members, and of those in contact, as of memberCountInterval ago or later.
func (m *members) count(now time.Duration) (total, inContact int) {
	if m.counted && now-m.countedAt < memberCountInterval {
		return m.total, m.inContact
	}
	m.counted, m.countedAt, m.inContact = true, now, 0
	for vm, at := range m.contactAt {
		switch {
		case now-at > memberRetention:
			delete(m.contactAt, vm)
		case now-at <= lostAfter:
			m.inContact++
		}
	}
	m.total = len(m.contactAt)
	if now-m.since < memberRetention {
		m.total = max(m.total, m.known)
	}
	return m.total, m.inContact
}
