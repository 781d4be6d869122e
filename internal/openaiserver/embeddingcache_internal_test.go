package openaiserver

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"martenlock/control/coalesce"
	"martenlock/internal/config"
	"martenlock/internal/openai"
)

// Sizes of the caches that BenchmarkEmbeddingCache compares.
const (
	benchmarkEntries    = 2000
	benchmarkEntryBytes = 700
)

// cacheUnderTest holds the operations of a cache that BenchmarkEmbeddingCache uses.
type cacheUnderTest struct {
	contains func(key coalesce.Key) bool
	add      func(key coalesce.Key, embedding []byte)
}

// BenchmarkEmbeddingCache compares the hit rates of the cache and of an LRU cache of the same size. Keys are drawn from
// a Zipf distribution over 100,000 keys. In the second trace, half of the lookups are for keys that are used only once.
func BenchmarkEmbeddingCache(b *testing.B) {
	for _, trace := range []struct {
		name        string
		uniqueShare float64 // share of lookups for keys that are used only once
	}{{"zipf", 0}, {"zipf and as many unique keys", 0.5}} {
		b.Run(trace.name+"/cache", func(b *testing.B) {
			cache := newEmbeddingCache(&pool{settings: &config.Pool{CacheBytes: benchmarkEntries * benchmarkEntryBytes}})
			replayTrace(b, trace.uniqueShare, cacheUnderTest{
				contains: func(key coalesce.Key) bool {
					_, isCached := cache.lookUp(key)
					return isCached
				},
				add: func(key coalesce.Key, embedding []byte) {
					cache.entries.Set(key, openai.EmbeddingResult{Embedding: embedding})
				},
			})
		})
		b.Run(trace.name+"/lru", func(b *testing.B) {
			cache, err := simplelru.NewLRU[coalesce.Key, []byte](benchmarkEntries, nil)
			if err != nil {
				b.Fatal(err)
			}
			replayTrace(b, trace.uniqueShare, cacheUnderTest{
				contains: func(key coalesce.Key) bool {
					_, isCached := cache.Get(key)
					return isCached
				},
				add: func(key coalesce.Key, embedding []byte) { cache.Add(key, embedding) },
			})
		})
	}
}

// replayTrace looks up b.N keys, adds those that are missing, and reports the hit rate of the keys that are not unique.
func replayTrace(b *testing.B, uniqueShare float64, cache cacheUnderTest) {
	b.Helper()
	rng := rand.New(rand.NewPCG(1, 2))
	zipf := rand.NewZipf(rng, 1.05, 1, 100_000)
	embedding := make([]byte, benchmarkEntryBytes-cacheEntryOverheadBytes)
	hits, lookups := 0, 0
	for i := range b.N {
		var key coalesce.Key
		if rng.Float64() < uniqueShare {
			binary.LittleEndian.PutUint64(key[8:], uint64(i)+1)
		} else {
			lookups++
			binary.LittleEndian.PutUint64(key[:], zipf.Uint64()+1)
		}
		if cache.contains(key) {
			hits++
		} else {
			cache.add(key, embedding)
		}
	}
	b.ReportMetric(100*float64(hits)/float64(max(lookups, 1)), "%hits")
}
