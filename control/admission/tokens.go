package admission

import "martenlock/control/internal/ewma"

const (
	// maxEstimateError is the factor by which an uncorrected estimate may be too high or too low.
	maxEstimateError = 4.0
	// ratioAlpha is the weight of a new sample in the mean ratio.
	ratioAlpha = 0.05
	// minRatioAlpha is the weight with which the least ratio returns to the mean.
	minRatioAlpha = 0.02
	// lowerBoundMargin multiplies the least ratio: the next prompt may have fewer tokens for its bytes
	// than all observed ones.
	lowerBoundMargin = 0.5
	// minSampleTokens is the least estimate that counts as a sample. The tokens of shorter prompts depend more
	// on the engine's template than on the text.
	minSampleTokens = 200
)

// TokenEstimator corrects token counts that are estimated from the bytes of prompts, by the counts that
// engines report in their usage. Each pool has its own, since languages and vocabularies differ. The zero
// value has no samples and is ready for use.
type TokenEstimator struct {
	meanRatio ewma.Average[float64] // actual over estimated tokens
	minRatio  ewma.Average[float64] // about the least recent ratio
}

// Observe records the actual tokens of a prompt and its uncorrected estimate.
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

// Correct returns the expected tokens of a prompt with an uncorrected estimate.
func (e *TokenEstimator) Correct(estimated float64) float64 {
	if e.meanRatio.Value == 0 {
		return estimated
	}
	return estimated * e.meanRatio.Value
}

// LowerBound returns the least tokens that a prompt with an uncorrected estimate may have. It is at most half
// of the estimate whatever other prompts had, so that one client's dense texts cannot make another's prompts
// count as too long.
func (e *TokenEstimator) LowerBound(estimated float64) float64 {
	if e.minRatio.Value == 0 {
		return estimated / maxEstimateError
	}
	return estimated * max(min(e.minRatio.Value, 1)*lowerBoundMargin, 1/maxEstimateError)
}
