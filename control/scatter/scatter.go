// Package scatter splits a large embeddings or rerank request into shards, which different engines serve at
// the same time, and decides what the outcomes of the shards mean for the whole request (scatter and gather).
// Each shard is a request of its own to the decision module, package control, which alone chooses its
// endpoint and its attempts.
//
// Like control, the package does no I/O, reads no clock and starts no goroutine.
package scatter

import "math"

// Limits bound the shards of a request. A limit of 0 is no bound.
type Limits struct {
	ShardTokens float64 // estimated tokens of all items of a shard
	ShardItems  int     // items of a shard
	Shards      int     // shards of one request; it takes precedence over the other two
}

// Shard is the half-open range of a request's items from From up to To.
type Shard struct {
	From, To int
}

// Plan splits items, given by their tokens, into as few shards as the limits allow. The shards are of about the
// same size, since the request ends with its largest shard. They keep the order of the items, so that answers
// can be concatenated. An item is never split.
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
			restHasTooFewItems := itemsLeft <= shardsLeft-1
			restHasTooManyItems := itemsLeft > (shardsLeft-1)*maxItems
			if restHasTooFewItems || isFull && !restHasTooManyItems {
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

// shardCount returns the least number of shards that keeps the limits. It is bounded by Limits.Shards and by
// the number of items, even if the other limits are then exceeded.
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

// maxShardItems returns the most items that a shard may have: the limit, or more if count shards could not hold
// all items otherwise.
func maxShardItems(items, count int, limits Limits) int {
	if limits.ShardItems <= 0 {
		return items
	}
	return max(limits.ShardItems, ceilDiv(items, max(count, 1)))
}

// ceilDiv returns the quotient, rounded up.
func ceilDiv(dividend, divisor int) int { return (dividend + divisor - 1) / divisor }
