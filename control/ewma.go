package control

// ewma is an exponentially weighted moving average. Each call gives the weight alpha of its value, from 0
// to 1. The value 0 means that nothing was observed yet.
type ewma[T ~float64] struct{ value T }

// observe adds a value to the average. The first value becomes the average.
func (e *ewma[T]) observe(value T, alpha float64) {
	if e.value == 0 {
		e.value = value
	}
	e.approach(value, alpha)
}

// approach moves the average towards a value, also from 0. Rates start there.
func (e *ewma[T]) approach(value T, alpha float64) {
	e.value += T(alpha) * (value - e.value)
}

// observeLow follows the lower values. A value below the average first has the weight fallAlpha, then every
// value has the weight riseAlpha. Times that include a wait hardly move it.
func (e *ewma[T]) observeLow(value T, fallAlpha, riseAlpha float64) {
	if value < e.value {
		e.observe(value, fallAlpha)
	}
	e.observe(value, riseAlpha)
}
