package scatter

import (
	"testing"

	"pgregory.net/rapid"

	_ "martenlock/internal/proptest"
)

// TestPlanCoversItemsWithinLimits: shards cover each item once and in order, satisfy the limits where
// possible, and are of similar size. A request is split only if a limit requires it.
func TestPlanCoversItemsWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		itemTokens := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 300).Draw(t, "tokens")
		limits := Limits{
			ShardTokens: rapid.SampledFrom([]float64{0, 1, 500, 5000}).Draw(t, "shard tokens"),
			ShardItems:  rapid.IntRange(0, 50).Draw(t, "shard items"),
			Shards:      rapid.IntRange(0, 20).Draw(t, "shards"),
		}

		shards := Plan(itemTokens, limits)

		checkCover(t, shards, len(itemTokens))
		checkLimits(t, shards, len(itemTokens), limits)
		if limits.ShardItems == 0 { // a limit on items may require shards of different size
			checkEven(t, shards, itemTokens)
		}
	})
}

// checkCover checks that shards cover all items once and in order.
func checkCover(t *rapid.T, shards []Shard, items int) {
	covered := 0
	for _, shard := range shards {
		if shard.From != covered || shard.To <= shard.From {
			t.Fatalf("shard %v, want it to start at item %d and not to be empty", shard, covered)
		}
		covered = shard.To
	}
	if covered != items {
		t.Fatalf("the shards cover %d of %d items", covered, items)
	}
}

// checkLimits checks the number of shards and the number of items of each shard.
func checkLimits(t *rapid.T, shards []Shard, items int, limits Limits) {
	canKeepItemLimit := limits.ShardItems > 0 &&
		(limits.Shards == 0 || (items+limits.ShardItems-1)/limits.ShardItems <= limits.Shards)
	for _, shard := range shards {
		if shardItems := shard.To - shard.From; canKeepItemLimit && shardItems > limits.ShardItems {
			t.Fatalf("shard %v has %d items, want at most %d, in %v", shard, shardItems, limits.ShardItems, shards)
		}
	}
	if limits.Shards > 0 && len(shards) > limits.Shards {
		t.Fatalf("%d shards, want at most %d", len(shards), limits.Shards)
	}
	if limits.ShardTokens == 0 && limits.ShardItems == 0 && len(shards) != 1 {
		t.Fatalf("split without a limit that requires it: %v", shards)
	}
}

// checkEven checks that no shard has many more tokens than the mean.
func checkEven(t *rapid.T, shards []Shard, itemTokens []float64) {
	totalTokens, largestShard, largestItem := 0.0, 0.0, 0.0
	for _, shard := range shards {
		shardTokens := 0.0
		for _, tokens := range itemTokens[shard.From:shard.To] {
			shardTokens += tokens
			largestItem = max(largestItem, tokens)
		}
		totalTokens += shardTokens
		largestShard = max(largestShard, shardTokens)
	}
	if largestShard > totalTokens/float64(len(shards))+2*largestItem+1e-6 {
		t.Fatalf("the largest shard has %v of %v tokens in %d shards, the largest item %v",
			largestShard, totalTokens, len(shards), largestItem)
	}
}
