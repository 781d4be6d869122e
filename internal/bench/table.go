package bench

import (
	"fmt"
	"slices"
)

// comparison holds the same figure of both subjects.
type comparison struct{ router, proxy float64 }

// printHeader prints the table's column titles.
func (b *benchmark) printHeader() {
	title := fmt.Sprintf("medians of %d rounds, taken in turns", rounds)
	b.out.Printf("%-58s %12s %12s %7s\n", title, "martenlock", "ReverseProxy", "ratio")
}

// printRow prints a row with the values of both subjects and their ratio.
func (b *benchmark) printRow(name string, values comparison) {
	b.out.Printf("%-58s %12.0f %12.0f %7.2f\n", name, values.router, values.proxy, values.router/values.proxy)
}

// samples are the results of a measurement, one per round and subject.
type samples[T any] struct{ router, proxy []T }

// measureRounds runs all rounds of a measurement. Each round measures the router, then the proxy.
func measureRounds[T any](measured subjects, measure func(subject *process) (T, error)) (samples[T], error) {
	var all samples[T]
	for range rounds {
		sample, err := measure(measured.router)
		if err != nil {
			return samples[T]{}, err
		}
		all.router = append(all.router, sample)
		sample, err = measure(measured.proxy)
		if err != nil {
			return samples[T]{}, err
		}
		all.proxy = append(all.proxy, sample)
	}
	return all, nil
}

// medians returns the median of a value for each subject.
func (s samples[T]) medians(value func(T) float64) comparison {
	return comparison{router: median(s.router, value), proxy: median(s.proxy, value)}
}

// median returns the median of a value over the samples of both subjects.
func (s samples[T]) median(value func(T) float64) float64 {
	return median(slices.Concat(s.router, s.proxy), value)
}

// median returns the median of a value over items, which must not be empty. Of two middle values it returns the higher.
func median[T any](items []T, value func(T) float64) float64 {
	var values []float64
	for _, sample := range items {
		values = append(values, value(sample))
	}
	slices.Sort(values)
	return values[len(values)/2]
}
