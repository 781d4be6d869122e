package admission

import (
	"math"

	"martenlock/control"
)

// TokenLimits is the most tokens that one request may have at the endpoints of a pool. A limit of 0 is not
// known. A request beyond the limits fits no endpoint at any time.
type TokenLimits struct {
	Context float64 // of prompt and answer together, by the model
	Prefill float64 // of the prompt, by the memory of the largest prefill endpoint
	Decode  float64 // of prompt and answer together, by the memory of the largest decode endpoint
}

// EndpointCapacity is the role of an endpoint and the tokens that its memory holds.
type EndpointCapacity struct {
	Role         control.Role
	MemoryTokens float64 // 0 is not known and counts as unlimited
}

// NewTokenLimits returns the limits at the given endpoints. contextTokens is the model's context length, or 0
// if it is not known.
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

// totalLimit returns the most tokens that prompt and answer may have together.
func (l TokenLimits) totalLimit() float64 {
	return min(infiniteIfUnknown(l.Context), infiniteIfUnknown(l.Decode))
}

// promptLimit returns the most tokens that the prompt may have.
func (l TokenLimits) promptLimit() float64 {
	return min(infiniteIfUnknown(l.Prefill), l.totalLimit())
}

// NeverFits reports whether a request fits no endpoint. promptTokens is the uncorrected estimate of its
// prompt, and answerTokens is what its client asks for. NeverFits also returns the limit that the request was
// compared with: that of the prompt if the prompt alone exceeds it, otherwise that of both together.
func (l TokenLimits) NeverFits(estimator *TokenEstimator, promptTokens, answerTokens float64) (limit float64, neverFits bool) {
	leastPromptTokens := estimator.LowerBound(promptTokens)
	if promptLimit := l.promptLimit(); leastPromptTokens > promptLimit {
		return promptLimit, true
	}
	totalLimit := l.totalLimit()
	return totalLimit, leastPromptTokens+answerTokens > totalLimit
}

func infiniteIfUnknown(tokens float64) float64 {
	if tokens <= 0 {
		return math.Inf(1)
	}
	return tokens
}
