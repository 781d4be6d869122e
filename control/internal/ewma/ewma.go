// Package ewma provides an exponentially weighted moving average.
package ewma

// Average is an exponentially weighted moving average. The weight alpha of a new value is between 0 and 1.
// The zero Average has no observations and is ready for use.
type Average[T ~float64] struct {
	// Value is the average, or 0 without observations. The owner may also set it directly.
	Value T
}

// Observe adds a value to the average. If the average is 0, the value becomes the average.
func (a *Average[T]) Observe(value T, alpha float64) {
	if a.Value == 0 {
		a.Value = value
	}
	a.Approach(value, alpha)
}

// Approach moves the average towards a value, even if the average is 0. It is for rates, which start at 0.
func (a *Average[T]) Approach(value T, alpha float64) {
	a.Value += T(alpha) * (value - a.Value)
}

// ObserveLow tracks the low values. If a value is below the average, it is first observed with fallAlpha.
// Each value is then observed with riseAlpha. With a small riseAlpha, a few high values hardly change the
// average.
func (a *Average[T]) ObserveLow(value T, fallAlpha, riseAlpha float64) {
	if value < a.Value {
		a.Observe(value, fallAlpha)
	}
	a.Observe(value, riseAlpha)
}
