package admission

import (
	"math"

	"martenlock/control"
)

// TokenLimits are the maximum token counts of one request to a pool. A limit of 0 is unknown. A request that
// exceeds a limit does not fit any endpoint, even an idle one.
type TokenLimits struct {
	Context float64 // of prompt and answer together, set by the model
	Prefill float64 // of the prompt, set by the memory of the largest prefill or colocated endpoint
	Decode  float64 // of prompt and answer, set by the memory of the largest decode or colocated endpoint
}

// EndpointCapacity is the role of an endpoint and the number of tokens that its memory holds.
type EndpointCapacity struct {
	Role         control.Role
	MemoryTokens float64 // 0 means unknown and counts as unlimited
}

// NewTokenLimits returns the limits of a pool with the given endpoints. contextTokens is the model's context
// length, or 0 if it is unknown.
func NewTokenLimits(contextTokens float64, endpoints []EndpointCapacity) TokenLimits {
	limits := TokenLimits{Context: contextTokens}
	for _, endpoint := range endpoints {
		memory := infiniteIfUnknown(endpoint.MemoryTokens)
		if endpoint.Role != control.RoleDecode {
			limits.Prefill = max(limits.Prefill, memory)
		}
		if endpoint.Role != control.RolePrefill {
			limits.Decode = max(limits.Decode, memory)
		}
	}
	return limits
}

// totalLimit returns the maximum tokens of prompt and answer together.
func (l TokenLimits) totalLimit() float64 {
	return min(infiniteIfUnknown(l.Context), infiniteIfUnknown(l.Decode))
}

// promptLimit returns the maximum tokens of the prompt.
func (l TokenLimits) promptLimit() float64 {
	return min(infiniteIfUnknown(l.Prefill), l.totalLimit())
}

// NeverFits reports whether a request does not fit any endpoint. promptTokens is the uncorrected estimate
// of its prompt, and answerTokens is the answer length that its client asks for. NeverFits also returns the
// limit that the request was compared with: the prompt limit if the prompt alone exceeds it, otherwise the
// limit on prompt and answer together.
func (l TokenLimits) NeverFits(
	estimator *TokenEstimator, promptTokens, answerTokens float64,
) (limit float64, neverFits bool) {
	minPromptTokens := estimator.LowerBound(promptTokens)
	if promptLimit := l.promptLimit(); minPromptTokens > promptLimit {
		return promptLimit, true
	}
	totalLimit := l.totalLimit()
	return totalLimit, minPromptTokens+answerTokens > totalLimit
}

func infiniteIfUnknown(tokens float64) float64 {
	if tokens <= 0 {
		return math.Inf(1)
	}
	return tokens
}
