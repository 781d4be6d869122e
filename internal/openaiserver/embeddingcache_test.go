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

// BenchmarkEmbeddingCache plays one trace against the cache and a plain LRU that holds as much:
// keys by Zipf's law over 100,000, and a share of keys that never come again, as a bulk
// load beside searches has.
func BenchmarkEmbeddingCache(b *testing.B) {
	const entries, size = 2000, 700
	for _, once := range []float64{0, 0.5} {
		name := map[float64]string{0: "zipf", 0.5: "zipf and as many that come once"}[once]
		play := func(b *testing.B, get func(coalesce.Key) bool, set func(coalesce.Key, []byte)) {
			rng := rand.New(rand.NewPCG(1, 2))
			zipf := rand.NewZipf(rng, 1.05, 1, 100_000)
			body := make([]byte, size-cacheEntryOverheadBytes)
			hits, asked := 0, 0
			for i := range b.N {
				var k coalesce.Key
				if rng.Float64() < once {
					binary.LittleEndian.PutUint64(k[8:], uint64(i)+1)
				} else {
					asked++
					binary.LittleEndian.PutUint64(k[:], zipf.Uint64()+1)
				}
				if get(k) {
					hits++
				} else {
					set(k, body)
				}
			}
			b.ReportMetric(100*float64(hits)/float64(max(asked, 1)), "%hits")
		}
		b.Run(name+"/cache", func(b *testing.B) {
			c := newEmbeddingCache(&pool{settings: &config.Pool{CacheBytes: entries * size}})
			play(b, func(k coalesce.Key) bool { _, ok := c.lookUp(k); return ok }, func(k coalesce.Key, v []byte) { c.cache.Set(k, openai.EmbeddingResult{Embedding: v}) })
		})
		b.Run(name+"/lru", func(b *testing.B) {
			c, err := simplelru.NewLRU[coalesce.Key, []byte](entries, nil)
			if err != nil {
				b.Fatal(err)
			}
			play(b, func(k coalesce.Key) bool { _, ok := c.Get(k); return ok }, func(k coalesce.Key, v []byte) { c.Add(k, v) })
		})
	}
}
