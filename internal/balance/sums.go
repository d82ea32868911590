package balance

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// contactLifetime is how long after its last follow call the counts of a VM are used: a VM in contact calls at least
	// every 1.5 s.
	contactLifetime = 2500 * time.Millisecond
	// maxReplyBytes bounds the entries that a VM gets in a second.
	maxReplyBytes = 1800
	// serviceReports is the number of VMs whose newest measurement of a server's service time counts. Of these the median
	// is used, so that one VM with a wrong measurement changes little.
	serviceReports = 5
	// maxQueueFactor bounds the load that one VM may report of a server, as a multiple of its slots. A server with that
	// load is full, however high the number is.
	maxQueueFactor = 6
	// unequalShares is the ratio of the processor shares of two VMs above which the VMs share what they know.
	unequalShares = 1.5
)

// Member is a server of a service.
type Member struct {
	ID, Service, FailureDomain string
	Slots                      int
}

// Fleet is a list of servers.
type Fleet struct {
	services [][]fleetMember // with more than one server
	byKey    map[uint32]Member
}

type fleetMember struct {
	hash   uint64 // of the ID
	domain string
}

// NewFleet returns the fleet of the servers.
func NewFleet(members []Member) *Fleet {
	f := &Fleet{byKey: map[uint32]Member{}}
	byService := map[string][]fleetMember{}
	for _, m := range members {
		f.byKey[Key(m.ID)] = m
		byService[m.Service] = append(byService[m.Service], fleetMember{xxhash.Sum64String(m.ID), m.FailureDomain})
	}
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		if len(byService[service]) > 1 {
			f.services = append(f.services, byService[service])
		}
	}
	return f
}

// subset returns the keys of the servers among which a VM chooses.
func (f *Fleet) subset(vm, domain string) []uint32 {
	var out []uint32
	hash := xxhash.Sum64String(vm)
	for _, members := range f.services {
		rankOf := func(i int) uint64 { return rank(hash, members[i].hash) }
		for _, i := range subset(len(members), SubsetSize(len(f.services)), rankOf, func(i int) bool { return members[i].domain != domain }) {
			out = append(out, uint32(members[i].hash)) // as Key
		}
	}
	return out[:min(len(out), maxSubset)]
}

// vmLoad is what the leader knows of a VM.
type vmLoad struct {
	entries   map[uint32]Entry
	contactAt time.Duration
	share     float64 // of a processor; 0 if it is unknown
	total     int

	fleet     *Fleet // of subset
	subset    []uint32
	sent      map[uint32]Entry
	revision  uint64
	next      int // index in subset at which the next reply begins
	bytes     float64
	repliedAt time.Duration
}

// serviceTimes are the newest measurements of a server's service time, by VM.
type serviceTimes struct {
	vms    [serviceReports]string
	values [serviceReports]time.Duration
	next   int
}

func (s *serviceTimes) record(vm string, value time.Duration) {
	i := slices.Index(s.vms[:], vm)
	if i < 0 {
		i = s.next
		s.next = (s.next + 1) % serviceReports
	}
	s.vms[i], s.values[i] = vm, value
}

func (s *serviceTimes) median() time.Duration {
	var list []time.Duration
	for _, v := range s.values {
		if v > 0 {
			list = append(list, v)
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)/2]
}

// Collector sums the reports of all VMs. The leader has one for each leadership. It is safe for concurrent use.
type Collector struct {
	mu       sync.Mutex
	enabled  bool
	vms      map[string]*vmLoad
	totals   map[uint32]int
	services map[uint32]*serviceTimes
	own      map[uint32]int // requests of the leader itself
}

// NewCollector returns a Collector. Without enabled, it collects once VMs of unequal processor shares are in contact.
func NewCollector(enabled bool) *Collector {
	return &Collector{enabled: enabled, vms: map[string]*vmLoad{}, totals: map[uint32]int{}, services: map[uint32]*serviceTimes{}}
}

// Enabled reports whether the VMs share what they know. Once true it remains so: the restart of one VM must not change
// how the others choose.
func (c *Collector) Enabled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.enabled
}

// Contact records a follow call of a VM, with its processor share, or 0 if it is unknown.
func (c *Collector) Contact(vm string, share float64, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropLost(now)
	v := c.vms[vm]
	if v == nil {
		v = &vmLoad{entries: map[uint32]Entry{}, sent: map[uint32]Entry{}, bytes: maxReplyBytes, repliedAt: now}
		c.vms[vm] = v
	}
	v.contactAt, v.share = now, share
	if c.enabled || share <= 0 {
		return
	}
	for _, other := range c.vms {
		if other.share > 0 && max(share, other.share) > unequalShares*min(share, other.share) {
			c.enabled = true
		}
	}
}

func (c *Collector) dropLost(now time.Duration) {
	for name, v := range c.vms {
		if now-v.contactAt > contactLifetime {
			c.forget(v)
			delete(c.vms, name)
		}
	}
}

func (c *Collector) forget(v *vmLoad) {
	for key, e := range v.entries {
		c.add(key, -e.Load)
	}
	clear(v.entries)
	v.total = 0
}

func (c *Collector) add(key uint32, load int) {
	if c.totals[key] += load; c.totals[key] <= 0 {
		delete(c.totals, key)
	}
}

// Record adds the report of a VM that is in contact. Entries of unknown servers are ignored, and impossible loads reduced.
func (c *Collector) Record(vm string, r *Report, f *Fleet) error {
	if r == nil {
		return nil
	}
	entries, err := Decode(r.Entries, MaxReportEntries)
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.vms[vm]
	if v == nil {
		return err
	}
	if r.Whole {
		c.forget(v)
	}
	if r.Whole || r.Revision != v.revision {
		clear(v.sent) // the VM does not have the last reply
	}
	for _, e := range entries {
		member, known := f.byKey[e.Key]
		if !known {
			continue
		}
		e.Load = min(e.Load, maxQueueFactor*max(member.Slots, 1))
		c.add(e.Key, e.Load-v.entries[e.Key].Load)
		v.total += e.Load - v.entries[e.Key].Load
		if v.entries[e.Key] = e; e.Load == 0 {
			delete(v.entries, e.Key)
		}
		if c.services[e.Key] == nil {
			c.services[e.Key] = &serviceTimes{}
		}
		c.services[e.Key].record(vm, e.Service)
	}
	return err
}

// SetOwn replaces the requests that the leader itself has in flight, by key of the server.
func (c *Collector) SetOwn(own map[uint32]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own = own
}

// Reply returns what the leader tells a VM now, or nil if the VMs do not share what they know.
func (c *Collector) Reply(vm, domain string, f *Fleet, now time.Duration) *Sums {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropLost(now)
	v := c.vms[vm]
	if v == nil || !c.enabled {
		return nil
	}
	if v.fleet != f {
		v.fleet, v.subset, v.next = f, f.subset(vm, domain), 0
		sent := map[uint32]Entry{}
		for _, key := range v.subset {
			if e, found := v.sent[key]; found {
				sent[key] = e
			}
		}
		v.sent = sent
		for key := range c.services {
			if _, known := f.byKey[key]; !known {
				delete(c.services, key)
			}
		}
	}
	v.bytes = min(maxReplyBytes, v.bytes+(now-v.repliedAt).Seconds()*maxReplyBytes)
	v.repliedAt = now
	v.revision++
	r := &Sums{Enabled: true, Complete: true, Age: c.meanAge(vm, now), Revision: v.revision, Services: len(f.services)}
	for i := range v.subset {
		at := (v.next + i) % len(v.subset)
		key := v.subset[at]
		e := Entry{Key: key, Load: c.totals[key] + c.own[key] - v.entries[key].Load}
		if s := c.services[key]; s != nil {
			e.Service = s.median()
		} else if e.Load == 0 {
			continue // no VM has reported it
		}
		if last, sent := v.sent[key]; sent && !differs(e.Load, last.Load) && !differs(int(e.Service), int(last.Service)) {
			continue
		}
		if v.bytes < float64(len(r.Entries)+maxEntryBytes) {
			r.Complete, v.next = false, at
			break
		}
		r.Entries = appendEntry(r.Entries, e)
		v.sent[key] = e
	}
	v.bytes -= float64(len(r.Entries))
	return r
}

// meanAge returns the mean age of the reports of the VMs other than vm, weighted by their requests.
func (c *Collector) meanAge(vm string, now time.Duration) time.Duration {
	var sum time.Duration
	total := 0
	for name, v := range c.vms {
		if weight := cmp.Or(v.total, 1); name != vm {
			sum += time.Duration(weight) * (now - v.contactAt)
			total += weight
		}
	}
	return sum / time.Duration(max(total, 1))
}
