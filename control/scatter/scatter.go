// Package scatter splits a large embeddings or rerank request into shards, which different engines serve at
// the same time, and combines the outcomes of the shards into that of the whole request (scatter-gather).
// Package control handles each shard as a request of its own and chooses its endpoints.
//
// Like control, the package does no I/O, reads no clock and starts no goroutine.
package scatter

import "math"

// Limits bound the shards of a request. A limit of 0 is no bound.
type Limits struct {
	ShardTokens float64 // maximum mean of the shards' estimated tokens; a shard may have more
	ShardItems  int     // maximum items of a shard
	Shards      int     // maximum shards of a request; takes precedence over the other limits
}

// Shard is the half-open range [From, To) of a request's items.
type Shard struct {
	From, To int
}

// Plan splits items, given by their token counts, into as few shards as the limits allow. The shards have
// about the same number of tokens, since the largest one determines when the request ends. They keep the
// order of the items, so that their answers can be concatenated. An item is never split.
func Plan(itemTokens []float64, limits Limits) []Shard {
	totalTokens := 0.0
	for _, tokens := range itemTokens {
		totalTokens += tokens
	}
	count := shardCount(len(itemTokens), totalTokens, limits)
	maxItems := maxShardItems(len(itemTokens), count, limits)
	shards := make([]Shard, 0, count)
	start := 0 // first item of the current shard
	shardTokens := 0.0
	assignedTokens := 0.0 // of the shards before the current one
	for index, tokens := range itemTokens {
		shardsLeft := count - len(shards) // including the current one
		if shardsLeft > 1 && index > start {
			itemsLeft := len(itemTokens) - index
			fairTokens := (totalTokens - assignedTokens) / float64(shardsLeft)
			isFull := shardTokens+tokens/2 >= fairTokens || index-start >= maxItems
			laterShardsNeedAllItems := itemsLeft <= shardsLeft-1
			laterShardsWouldExceedLimit := itemsLeft > (shardsLeft-1)*maxItems
			if laterShardsNeedAllItems || isFull && !laterShardsWouldExceedLimit {
				shards = append(shards, Shard{start, index})
				assignedTokens += shardTokens
				start = index
				shardTokens = 0
			}
		}
		shardTokens += tokens
	}
	if start < len(itemTokens) {
		shards = append(shards, Shard{start, len(itemTokens)})
	}
	return shards
}

// shardCount returns the minimum number of shards whose mean tokens and mean items are within the limits. It
// is at most Limits.Shards and the number of items, even if the other limits are then exceeded.
func shardCount(items int, totalTokens float64, limits Limits) int {
	count := 1
	if limits.ShardTokens > 0 {
		byTokens := math.Ceil(min(totalTokens/limits.ShardTokens, float64(items)))
		count = max(count, int(byTokens))
	}
	if limits.ShardItems > 0 {
		count = max(count, ceilDiv(items, limits.ShardItems))
	}
	count = min(count, items)
	if limits.Shards > 0 {
		count = min(count, limits.Shards)
	}
	return count
}

// maxShardItems returns the maximum number of items of a shard: the limit, or more if count shards could
// not hold all items otherwise.
func maxShardItems(items, count int, limits Limits) int {
	if limits.ShardItems <= 0 {
		return items
	}
	return max(limits.ShardItems, ceilDiv(items, max(count, 1)))
}

func ceilDiv(dividend, divisor int) int { return (dividend + divisor - 1) / divisor }
