package scatter

import (
	"testing"

	"pgregory.net/rapid"

	_ "martenlock/internal/proptest"
)

// TestPlanCoversItemsWithinLimits: shards cover the items once and in order, keep the limits wherever they can
// be kept, are of similar size, and are split only by a limit.
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
		if limits.ShardItems == 0 { // the limit on items may force uneven shards
			checkEven(t, shards, itemTokens)
		}
	})
}

// checkCover checks that shards cover all items once and in order.
func checkCover(t *rapid.T, shards []Shard, items int) {
	covered := 0
	for _, shard := range shards {
		if shard.From != covered || shard.To <= shard.From {
			t.Fatalf("shard %v after item %d", shard, covered)
		}
		covered = shard.To
	}
	if covered != items {
		t.Fatalf("%d of %d items", covered, items)
	}
}

// checkLimits checks the numbers of shards and of items in each.
func checkLimits(t *rapid.T, shards []Shard, items int, limits Limits) {
	canKeepItemLimit := limits.ShardItems > 0 &&
		(limits.Shards == 0 || (items+limits.ShardItems-1)/limits.ShardItems <= limits.Shards)
	for _, shard := range shards {
		if shardItems := shard.To - shard.From; canKeepItemLimit && shardItems > limits.ShardItems {
			t.Fatalf("shard %v of %d items, %d at most, in %v", shard, shardItems, limits.ShardItems, shards)
		}
	}
	if limits.Shards > 0 && len(shards) > limits.Shards {
		t.Fatalf("%d shards, %d at most", len(shards), limits.Shards)
	}
	if limits.ShardTokens == 0 && limits.ShardItems == 0 && len(shards) != 1 {
		t.Fatalf("split without need: %v", shards)
	}
}

// checkEven checks that no shard has much more tokens than the mean.
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
		t.Fatalf("largest shard %v of %v in %d, largest item %v", largestShard, totalTokens, len(shards), largestItem)
	}
}
