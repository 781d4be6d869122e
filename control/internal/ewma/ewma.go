// Package ewma provides the exponentially weighted moving average of the decision packages.
package ewma

// Average is an exponentially weighted moving average. Each method takes the weight alpha of its value, from 0
// to 1. The zero Average has no observations and is ready for use.
type Average[T ~float64] struct {
	// Value is the average, or 0 without observations. The owner may assign a value that is not averaged, such
	// as a bound.
	Value T
}

// Observe adds a value to the average. The first value becomes the average.
func (a *Average[T]) Observe(value T, alpha float64) {
	if a.Value == 0 {
		a.Value = value
	}
	a.Approach(value, alpha)
}

// Approach moves the average towards a value, also from 0. It is for rates, which start at 0.
func (a *Average[T]) Approach(value T, alpha float64) {
	a.Value += T(alpha) * (value - a.Value)
}

// ObserveLow follows the lower values. A value below the average is first observed with fallAlpha. Every value
// is then observed with riseAlpha. If riseAlpha is small, a few high values hardly move the average.
func (a *Average[T]) ObserveLow(value T, fallAlpha, riseAlpha float64) {
	if value < a.Value {
		a.Observe(value, fallAlpha)
	}
	a.Observe(value, riseAlpha)
}
