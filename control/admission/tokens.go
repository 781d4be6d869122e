package admission

import "martenlock/control/internal/ewma"

const (
	// maxEstimateError is the factor by which an uncorrected estimate may be too high or too low.
	maxEstimateError = 4.0
	// ratioAlpha is the weight of a new sample in TokenEstimator.meanRatio.
	ratioAlpha = 0.05
	// minRatioAlpha is the weight with which each sample moves TokenEstimator.minRatio towards meanRatio.
	minRatioAlpha = 0.02
	// lowerBoundMargin multiplies TokenEstimator.minRatio, because a prompt may have fewer tokens per byte
	// than all observed ones.
	lowerBoundMargin = 0.5
	// minSampleTokens is the smallest estimate that counts as a sample. The token counts of shorter prompts
	// depend more on the engine's chat template than on the text.
	minSampleTokens = 200
)

// TokenEstimator corrects token counts that are estimated from the bytes of prompts. It learns from the
// counts that engines report as usage. Each pool has its own estimator, since languages and vocabularies
// differ. The zero value has no samples and is ready for use.
type TokenEstimator struct {
	meanRatio ewma.Average[float64] // of actual to estimated tokens
	minRatio  ewma.Average[float64] // recent minimum of the ratio; returns slowly to meanRatio
}

// Observe records the uncorrected estimate of a prompt's tokens and the actual count.
func (e *TokenEstimator) Observe(estimated, actual float64) {
	if estimated < minSampleTokens || actual < 1 {
		return
	}
	ratio := min(max(actual/estimated, 1/maxEstimateError), maxEstimateError)
	if e.minRatio.Value == 0 {
		e.minRatio.Value = 1 / maxEstimateError
	}
	e.meanRatio.Observe(ratio, ratioAlpha)
	e.minRatio.Observe(e.meanRatio.Value, minRatioAlpha)
	e.minRatio.Value = min(e.minRatio.Value, ratio)
}

// Correct returns the expected token count of a prompt, given its uncorrected estimate.
func (e *TokenEstimator) Correct(estimated float64) float64 {
	if e.meanRatio.Value == 0 {
		return estimated
	}
	return estimated * e.meanRatio.Value
}

// LowerBound returns the smallest plausible token count of a prompt, given its uncorrected estimate. It is at
// most half of the estimate. Otherwise one client's texts with many tokens per byte could make the prompts of
// another client count as too long.
func (e *TokenEstimator) LowerBound(estimated float64) float64 {
	if e.minRatio.Value == 0 {
		return estimated / maxEstimateError
	}
	return estimated * max(min(e.minRatio.Value, 1)*lowerBoundMargin, 1/maxEstimateError)
}
