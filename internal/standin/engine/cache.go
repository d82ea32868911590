package engine

import (
	"container/list"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertledge/internal/api"
)

// cacheBlock is the number of prompt bytes that share one entry of the prefix cache.
const cacheBlock = 64

// PrefixHashes returns the hash of each prefix of prompt that ends at a block boundary, shortest first, in the
// form that cache events name them.
func PrefixHashes(prompt string) []string {
	var hashes []string
	h := xxhash.New()
	for len(prompt) >= cacheBlock {
		_, _ = h.WriteString(prompt[:cacheBlock])
		prompt = prompt[cacheBlock:]
		hashes = append(hashes, fmt.Sprintf("%016x", h.Sum64()))
	}
	return hashes
}

type cacheEntry struct {
	prefix  string
	version api.WeightVersion
}

type cacheEvent struct {
	at    time.Time
	event api.CacheEvent
}

// prefixCache remembers prompt prefixes and the version under which each was computed. The least recently used
// prefixes are dropped.
type prefixCache struct {
	mu       sync.Mutex
	limit    int
	order    *list.List // of *cacheEntry, most recently used first
	entries  map[string]*list.Element
	sequence uint64
	events   []cacheEvent // not announced yet, oldest first
}

// maxCacheEvents bounds the events of one announcement; older events are lost and leave a gap.
const maxCacheEvents = 256

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), entries: map[string]*list.Element{}}
}

// use looks up the longest cached prefix of prompt that no version below min computed, and enters the rest
// under current. It returns the versions of the reused blocks in ascending order and the number of blocks
// that had to be computed.
func (c *prefixCache) use(prompt string, current, min api.WeightVersion) (reused []api.WeightVersion, computed int) {
	if c.limit == 0 {
		return nil, 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	hashes := PrefixHashes(prompt)
	hit := 0
	for _, h := range hashes {
		e, ok := c.entries[h]
		if !ok || e.Value.(*cacheEntry).version < min {
			break
		}
		reused = append(reused, e.Value.(*cacheEntry).version)
		c.order.MoveToFront(e)
		hit++
	}
	for _, h := range hashes[hit:] {
		c.enter(h, current)
	}
	slices.Sort(reused)
	return slices.Compact(reused), len(hashes) - hit
}

func (c *prefixCache) enter(prefix string, v api.WeightVersion) {
	if e, ok := c.entries[prefix]; ok {
		e.Value.(*cacheEntry).version = v
		c.order.MoveToFront(e)
		return
	}
	c.entries[prefix] = c.order.PushFront(&cacheEntry{prefix: prefix, version: v})
	c.record(prefix, false)
	for c.order.Len() > c.limit {
		last := c.order.Back()
		c.order.Remove(last)
		old := last.Value.(*cacheEntry).prefix
		delete(c.entries, old)
		c.record(old, true)
	}
}

func (c *prefixCache) record(prefix string, removed bool) {
	c.sequence++
	ev := api.CacheEvent{Sequence: c.sequence, Prefix: prefix, Removed: removed}
	c.events = append(c.events, cacheEvent{at: time.Now(), event: ev})
	if len(c.events) > maxCacheEvents {
		c.events = slices.Delete(c.events, 0, len(c.events)-maxCacheEvents)
	}
}

// announce takes the events that are older than lag and drops each for which lost returns true.
func (c *prefixCache) announce(now time.Time, lag time.Duration, lost func() bool) []api.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []api.CacheEvent
	n := 0
	for ; n < len(c.events) && now.Sub(c.events[n].at) >= lag; n++ {
		if !lost() {
			out = append(out, c.events[n].event)
		}
	}
	c.events = slices.Delete(c.events, 0, n)
	return out
}
