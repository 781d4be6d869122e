package openaiserver

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/maypok86/otter/v2"

	"martenlock/control/batching"
	"martenlock/control/coalesce"
	"martenlock/internal/openai"
)

// embeddingCache holds a pool's cached embeddings and its computations in flight, both by input. If several requests
// wait for the same input, package coalesce decides which of them computes it.
type embeddingCache struct {
	*pollTimer
	pool      *pool
	group     *coalesce.Group
	entries   *otter.Cache[coalesce.Key, openai.EmbeddingResult] // nil if cache_bytes is 0
	pending   map[coalesce.RequestID]inputRef                    // inputs that are being computed, by the same request or another
	lastID    coalesce.RequestID
	hits      uint64 // number of inputs answered from the cache
	coalesced uint64 // number of inputs that waited for another request's computation
}

type inputRef struct {
	request *embeddingRequest
	index   int
}

// cacheEntryOverheadBytes is the estimated memory of a cache entry in addition to its embedding: the key, the node and
// the data of the eviction policy.
const cacheEntryOverheadBytes = 150

func newEmbeddingCache(p *pool) *embeddingCache {
	c := &embeddingCache{pool: p, group: coalesce.NewGroup(), pending: map[coalesce.RequestID]inputRef{}}
	c.pollTimer = newPollTimer(p.server, c.expire, c.group.NextPoll)
	if p.settings.CacheBytes > 0 {
		c.entries = newEntries(uint64(p.settings.CacheBytes))
	}
	return c
}

// newEntries returns an empty cache of at most maxBytes.
func newEntries(maxBytes uint64) *otter.Cache[coalesce.Key, openai.EmbeddingResult] {
	return otter.Must(&otter.Options[coalesce.Key, openai.EmbeddingResult]{
		MaximumWeight: maxBytes,
		Weigher: func(_ coalesce.Key, entry openai.EmbeddingResult) uint32 {
			return uint32(len(entry.Embedding) + cacheEntryOverheadBytes)
		},
		Executor: func(fn func()) { fn() }, // runs evictions at once on the event loop, not on another goroutine, so that they can't fall behind
	})
}

// expire rejects requests whose deadline has passed while they waited for another request's computation.
func (c *embeddingCache) expire() {
	for _, id := range c.group.Poll(c.pool.server.now()).Expired {
		input, isPending := c.pending[id]
		delete(c.pending, id)
		if isPending && !input.request.hasEnded {
			input.request.pendingIDs[input.index] = 0
			input.request.end(overloadedAnswer(c.pool.server.requestIDs.next(), batching.ExpiredRetryAfter))
		}
	}
}

// lookUp returns an input's embedding if it is cached.
func (c *embeddingCache) lookUp(key coalesce.Key) (cached openai.EmbeddingResult, isCached bool) {
	if c.entries == nil {
		return openai.EmbeddingResult{}, false
	}
	return c.entries.GetIfPresent(key)
}

// add records that a request waits for an input's embedding. isLeader reports whether the request has to compute it.
// Otherwise the request gets the result of a computation in flight.
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

// cacheKeys returns the cache key of each input: a hash of the input and of everything else that its embedding depends
// on. That is the path, the model's revision and all members of the request except the inputs and the user. The key
// includes the tenant unless tenants share the cache.
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
	r.apiRequest.WriteBatchKey(hash)
	commonHash := hash.Sum(nil)
	keys := make([]coalesce.Key, len(inputs))
	var sum [sha256.Size]byte
	for i, input := range inputs {
		hash.Reset()
		hash.Write(commonHash)
		hash.Write(input)
		copy(keys[i][:], hash.Sum(sum[:0]))
	}
	return keys
}
