package platform

import (
	"math"

	"github.com/tidwall/gjson"
)

// parseCachedTokens returns how many tokens of the prompt a prefill found in the engine's KV cache. It
// returns 0 if the response has no valid count.
func parseCachedTokens(body []byte) uint32 {
	if !gjson.ValidBytes(body) {
		return 0
	}
	tokens := gjson.GetBytes(body, "cached_tokens").Float()
	isInRange := tokens > 0 && tokens < math.MaxUint32 // false for NaN
	if !isInRange {
		return 0
	}
	return uint32(tokens)
}
