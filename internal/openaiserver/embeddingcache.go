package openaiserver

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/maypok86/otter/v2"

	"martenlock/control/batching"
	"martenlock/control/coalesce"
	"martenlock/internal/openai"
)

// embeddingCache is what a pool knows of embeddings that were computed before or are being
// computed, input by input.
type embeddingCache struct {
	*deadlineTimer
	pool      *pool
	group     *coalesce.Group
	cache     *otter.Cache[coalesce.Key, cachedEmbedding] // nil where the settings give it no bytes
	pending   map[coalesce.RequestID]inputRef             // inputs that are being computed, or wait for another's computation
	lastID    coalesce.RequestID
	hits      uint64 // inputs answered from the cache
	coalesced uint64 // inputs that waited for another's computation
}

// cachedEmbedding is one input's embedding and its share of what its call used.
type cachedEmbedding struct {
	piece openai.Embedding
	usage int64 // tokens
}

// inputRef is an input of a request.
type inputRef struct {
	request *embeddingRequest
	index   int
}

// cacheEntryOverheadBytes is what a cache entry takes beside its embedding: key, node, policy.
const cacheEntryOverheadBytes = 150

// newEmbeddingCache returns an empty cache by the pool's settings.
func newEmbeddingCache(p *pool) *embeddingCache {
	c := &embeddingCache{pool: p, group: coalesce.NewGroup(), pending: map[coalesce.RequestID]inputRef{}}
	c.deadlineTimer = newDeadlineTimer(p.server, c.expire, c.group.NextDeadline)
	if p.settings.CacheBytes > 0 {
		c.cache = newCache(uint64(p.settings.CacheBytes))
	}
	return c
}

// newCache returns a cache of so many bytes.
func newCache(maxBytes uint64) *otter.Cache[coalesce.Key, cachedEmbedding] {
	return otter.Must(&otter.Options[coalesce.Key, cachedEmbedding]{
		MaximumWeight: maxBytes,
		Weigher: func(_ coalesce.Key, entry cachedEmbedding) uint32 {
			return uint32(len(entry.piece) + cacheEntryOverheadBytes)
		},
		Executor: func(fn func()) { fn() }, // on the loop: no goroutine of its own, and evictions keep pace
	})
}

// expire rejects requests that waited for another's computation until their deadlines.
func (c *embeddingCache) expire() {
	for _, id := range c.group.Poll(c.pool.server.now()).Expired {
		input, isPending := c.pending[id]
		delete(c.pending, id)
		if isPending && !input.request.hasEnded {
			input.request.pendingIDs[input.index] = 0
			input.request.end(overloaded(c.pool.server.requestIDs.next(), batching.ExpiredRetryAfter))
		}
	}
}

// lookUp returns an input's embedding where it is cached.
func (c *embeddingCache) lookUp(key coalesce.Key) (entry cachedEmbedding, isCached bool) {
	if c.cache == nil {
		return cachedEmbedding{}, false
	}
	return c.cache.GetIfPresent(key)
}

// add takes in an input that is not cached; true where it is to be computed, false where another's
// computation will do.
func (c *embeddingCache) add(request *embeddingRequest, index int) (isLeader bool) {
	c.lastID++
	request.pendingIDs[index] = c.lastID
	c.pending[c.lastID] = inputRef{request: request, index: index}
	isLeader = c.group.Add(request.keys[index], c.lastID, request.request.moduleRequest.Deadline)
	if !isLeader {
		c.coalesced++
	}
	return isLeader
}

// cacheKeys name the inputs of a call: all that an engine gets but the user, the revision of the
// model, and the tenant unless tenants share the cache.
func (r *inferenceRequest) cacheKeys(inputs [][]byte) []coalesce.Key {
	p := r.pool
	tenant := r.tenant
	if p.settings.SharesCache {
		tenant = ""
	}
	hash := sha256.New()
	for _, part := range []string{tenant, p.modelRevision, r.path} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write([]byte(part))
	}
	r.call.WriteBatchKey(hash)
	form := hash.Sum(nil)
	keys := make([]coalesce.Key, len(inputs))
	var sum [sha256.Size]byte
	for i, input := range inputs {
		hash.Reset()
		hash.Write(form)
		hash.Write(input)
		copy(keys[i][:], hash.Sum(sum[:0]))
	}
	return keys
}
