package schedule

import (
	"sync/atomic"

	"toucantiller.dev/endpoint"
)

// cacheSlots is the number of prefixes remembered per endpoint.
const cacheSlots = 512

// Confidence that an endpoint holds a prefix.
const (
	// confidenceStored is used after a stored event with no gap since.
	confidenceStored = 1.0
	// confidenceStale is used after a stored event followed by a gap, since the event that
	// evicted the prefix may be among the lost ones.
	confidenceStale = 0.5
	// confidenceByHash is used for the holder by hashing when no event says otherwise.
	confidenceByHash = 0.7
	// confidenceEvicted is used for that holder when its last event was an eviction. It only
	// makes gateways agree on where the prefix is stored next.
	confidenceEvicted = 0.1
)

// prefixCache remembers the cache events of one endpoint in a fixed table. Each
// word holds the upper 48 bits of a prefix hash, 14 bits of the gap count at
// which it was learned, a flag that the word is in use, and whether the prefix was
// evicted.
type prefixCache struct {
	table   atomic.Pointer[[cacheSlots]atomic.Uint64]
	lastSeq atomic.Uint64
	gaps    atomic.Uint64
}

const (
	tagMask     = ^uint64(0xffff)
	gapMask     = 0x3fff
	gapShift    = 2
	usedFlag    = uint64(2)
	evictedFlag = uint64(1)
)

// ObserveCache records cache events of the endpoint. Events may come late and
// with gaps; events older than the latest known are ignored. It must not be
// called for one candidate from two goroutines at once.
func (c *Candidate) ObserveCache(events []endpoint.CacheEvent) {
	p := &c.state.cache
	if p.table.Load() == nil && len(events) > 0 {
		p.table.Store(new([cacheSlots]atomic.Uint64))
		c.state.flags.Or(uint32(flagCache))
	}
	for _, e := range events {
		last := p.lastSeq.Load()
		if e.Seq <= last {
			continue
		}
		if last != 0 && e.Seq != last+1 {
			p.gaps.Add(1)
		}
		p.lastSeq.Store(e.Seq)
		p.put(e)
	}
}

func (p *prefixCache) put(e endpoint.CacheEvent) {
	word := e.Prefix&tagMask | (p.gaps.Load()&gapMask)<<gapShift | usedFlag
	if e.Evicted {
		word |= evictedFlag
	}
	p.table.Load()[mix(e.Prefix)%cacheSlots].Store(word)
}

// confidenceOf returns the confidence that the prefix is cached; known is false when no
// event about it is remembered.
func (p *prefixCache) confidenceOf(prefix uint64) (confidence float64, known bool) {
	table := p.table.Load()
	if table == nil {
		return 0, false
	}
	word := table[mix(prefix)%cacheSlots].Load()
	if word&usedFlag == 0 || word&tagMask != prefix&tagMask {
		return 0, false
	}
	if word&evictedFlag != 0 {
		return 0, true
	}
	if word>>gapShift&gapMask != p.gaps.Load()&gapMask {
		return confidenceStale, true
	}
	return confidenceStored, true
}

// loadBound is the multiple of the mean occupancy up to which a holder attracts
// the requests of its prefix; beyond it the next endpoint in rendezvous order
// becomes the holder.
const loadBound = 1.25

// estimateCachedTokens fills cachedTokens with the prompt tokens each candidate is expected to
// have cached. The holder of a prefix by rendezvous hashing is the same at every
// gateway that sees the same candidates.
func (x *scratch) estimateCachedTokens(r *Request) {
	bound := x.occupancyBound()
	last := len(r.Prefixes) - 1
	for k, p := range r.Prefixes {
		if x.flags&flagCache != 0 {
			x.creditCacheEvents(p)
		}
		// The longest prefix saves most and the shortest is shared most. A search for the
		// holders of those between costs as much as theirs and seldom finds others.
		if k == 0 || k == last {
			x.creditLikelyHolder(p, bound)
		}
	}
}

// creditCacheEvents credits the candidates whose cache events name the prefix.
func (x *scratch) creditCacheEvents(p Prefix) {
	for _, i := range x.live {
		if confidence, known := x.states[i].cache.confidenceOf(p.Hash); known {
			x.creditCached(i, confidence*float64(p.Tokens))
		}
	}
}

// creditLikelyHolder credits the holder by rendezvous hashing among the candidates within the
// occupancy bound.
func (x *scratch) creditLikelyHolder(p Prefix, bound float64) {
	best, bestRank := -1, uint64(0)
	for _, i := range x.live {
		rank := mix(p.Hash ^ x.hashes[i])
		// The rank is compared first: it is seldom the highest so far.
		if rank >= bestRank && (rank > bestRank || best < 0) && x.occupancy[i] <= bound {
			best, bestRank = int(i), rank
		}
	}
	if best < 0 {
		return
	}
	held := confidenceByHash
	confidence, known := x.states[uint8(best)].cache.confidenceOf(p.Hash)
	if known && confidence == 0 {
		held = confidenceEvicted
	}
	x.creditCached(uint8(best), held*float64(p.Tokens))
}

func (x *scratch) creditCached(i uint8, tokens float64) {
	if tokens > x.cachedTokens[i] {
		x.cachedTokens[i] = tokens
	}
}

func (x *scratch) occupancyBound() float64 {
	sum := x.totalOccupancy
	if len(x.live) < x.n {
		sum = 0
		for _, i := range x.live {
			sum += x.occupancy[i]
		}
	}
	return loadBound*sum/float64(len(x.live)) + 0.25
}
