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

// cacheBlockBytes is the size of a prompt block; the prefix cache has one entry for each block.
const cacheBlockBytes = 64

// PrefixHashes returns the hash of each prefix of prompt that ends at a block boundary, shortest first, in the format
// of the prefix field of cache events.
func PrefixHashes(prompt string) []string {
	var hashes []string
	h := xxhash.New()
	for len(prompt) >= cacheBlockBytes {
		_, _ = h.WriteString(prompt[:cacheBlockBytes])
		prompt = prompt[cacheBlockBytes:]
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

// prefixCache holds hashes of prompt prefixes and the weight version that computed each. It evicts the least recently
// used entries.
type prefixCache struct {
	mu        sync.Mutex
	maxBlocks int
	lru       *list.List // *cacheEntry values, most recently used first
	entries   map[string]*list.Element
	sequence  uint64
	events    []cacheEvent // not yet announced, oldest first
}

// maxCacheEvents limits the events that wait for an announcement. The oldest are dropped above it, which leaves a gap
// in the sequence numbers.
const maxCacheEvents = 256

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{maxBlocks: limit, lru: list.New(), entries: map[string]*list.Element{}}
}

// lookupOrInsert finds the longest cached prefix of prompt that was computed entirely by minVersion or newer, and
// inserts the remaining blocks with version current. It returns the versions of the reused blocks in ascending order
// without duplicates, and the number of blocks that had to be computed.
func (c *prefixCache) lookupOrInsert(prompt string, current, minVersion api.WeightVersion) (reused []api.WeightVersion, computed int) {
	if c.maxBlocks == 0 {
		return nil, 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	hashes := PrefixHashes(prompt)
	hit := 0
	for _, h := range hashes {
		e, ok := c.entries[h]
		if !ok || e.Value.(*cacheEntry).version < minVersion {
			break
		}
		reused = append(reused, e.Value.(*cacheEntry).version)
		c.lru.MoveToFront(e)
		hit++
	}
	for _, h := range hashes[hit:] {
		c.insert(h, current)
	}
	slices.Sort(reused)
	return slices.Compact(reused), len(hashes) - hit
}

func (c *prefixCache) insert(prefix string, v api.WeightVersion) {
	if e, ok := c.entries[prefix]; ok {
		e.Value.(*cacheEntry).version = v
		c.lru.MoveToFront(e)
		return
	}
	c.entries[prefix] = c.lru.PushFront(&cacheEntry{prefix: prefix, version: v})
	c.recordEvent(prefix, false)
	for c.lru.Len() > c.maxBlocks {
		last := c.lru.Back()
		c.lru.Remove(last)
		old := last.Value.(*cacheEntry).prefix
		delete(c.entries, old)
		c.recordEvent(old, true)
	}
}

func (c *prefixCache) recordEvent(prefix string, removed bool) {
	c.sequence++
	ev := api.CacheEvent{Sequence: c.sequence, Prefix: prefix, Removed: removed}
	c.events = append(c.events, cacheEvent{at: time.Now(), event: ev})
	if len(c.events) > maxCacheEvents {
		c.events = slices.Delete(c.events, 0, len(c.events)-maxCacheEvents)
	}
}

// takeEvents removes the events that are at least lag old and returns them, except those for which lost returns true.
func (c *prefixCache) takeEvents(now time.Time, lag time.Duration, lost func() bool) []api.CacheEvent {
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
