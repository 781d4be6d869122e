package admission

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"martenlock/control"
	_ "martenlock/internal/proptest"
)

// TestNeverFitsRejectsOnlyRequestsAboveLimits: a request that fits is not rejected while estimates are
// wrong by at most a factor of four and engines report correct counts. A request far above the limit is
// always rejected.
func TestNeverFitsRejectsOnlyRequestsAboveLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0.25, 4).Draw(t, "actual over estimated")
		limitTokens := rapid.IntRange(100, 1e6).Draw(t, "limit")
		limit := float64(limitTokens)
		estimator := TokenEstimator{}
		limits := TokenLimits{Context: limit}
		for range rapid.IntRange(0, 200).Draw(t, "observed") {
			estimator.Observe(1000, 1000*ratio*rapid.Float64Range(0.95, 1.05).Draw(t, "noise"))
		}
		actual := float64(rapid.IntRange(0, limitTokens).Draw(t, "prompt")) // whole, so that limit-actual is exact
		if _, neverFits := limits.NeverFits(&estimator, actual/ratio, limit-actual); neverFits {
			t.Fatalf("rejected a prompt of %v tokens that fits the limit of %v, estimate %v",
				actual, limit, actual/ratio)
		}
		// The texts of others have many tokens per byte or are tiny.
		for range rapid.IntRange(0, 200).Draw(t, "observed of others") {
			estimator.Observe(rapid.SampledFrom([]float64{1, 5000}).Draw(t, "size"), 20000)
		}
		if _, neverFits := limits.NeverFits(&estimator, actual/ratio, limit-actual); neverFits && ratio >= 0.5 {
			t.Fatalf("after samples of others: rejected a prompt of %v tokens, limit %v, estimate %v",
				actual, limit, actual/ratio)
		}
		if _, neverFits := limits.NeverFits(&estimator, limit*4.1, 0); !neverFits {
			t.Fatalf("accepted a prompt with an estimate of %v, limit %v", limit*4.1, limit)
		}
	})
	estimator := TokenEstimator{}
	estimator.Observe(1000, 500) // the prompts after this one have more tokens per byte
	for range 300 {
		estimator.Observe(1000, 2000)
	}
	limits := TokenLimits{Prefill: 1000, Decode: 600}
	for _, c := range []struct {
		prompt, answer, limit float64
		neverFits             bool
	}{
		{1200, 0, 600, false},
		{1200, 1, 600, true},
		{1201, 0, 600, true},
		{2001, 0, 600, true},
		{1, 601, 600, true},
		{1, 599, 600, false},
	} {
		limit, neverFits := limits.NeverFits(&estimator, c.prompt, c.answer)
		if neverFits != c.neverFits || limit != c.limit {
			t.Errorf("%+v: got limit %v, never fits %v", c, limit, neverFits)
		}
	}
	for _, c := range []struct {
		endpoints             []EndpointCapacity
		prompt, answer, limit float64
		neverFits             bool
	}{
		{[]EndpointCapacity{{control.RolePrefill, 1000}, {control.RoleDecode, 300}}, 599, 0, 300, false},
		{[]EndpointCapacity{{control.RolePrefill, 1000}, {control.RoleDecode, 300}}, 601, 0, 300, true},
		{[]EndpointCapacity{{control.RolePrefill, 100}, {control.RoleDecode, 300}}, 201, 0, 100, true},
		{
			[]EndpointCapacity{{control.RolePrefill, 100}, {control.RoleDecode, 300}, {control.RoleColocated, 0}},
			1e9, 0, math.Inf(1), false,
		},
		{[]EndpointCapacity{{control.RoleColocated, 100}, {control.RoleColocated, 400}}, 700, 40, 400, false},
		{[]EndpointCapacity{{control.RoleColocated, 100}, {control.RoleColocated, 400}}, 700, 60, 400, true},
	} {
		limit, neverFits := NewTokenLimits(0, c.endpoints).NeverFits(&estimator, c.prompt, c.answer)
		if neverFits != c.neverFits || limit != c.limit {
			t.Errorf("%+v: got limit %v, never fits %v", c, limit, neverFits)
		}
	}
	if _, neverFits := (TokenLimits{}).NeverFits(&estimator, 1e12, 1e12); neverFits {
		t.Error("rejected a request although no limit is known")
	}
	if difference := estimator.Correct(100) - 200; difference > 1 || difference < -1 {
		t.Errorf("Correct(100) = %v, want 200 within 1", estimator.Correct(100))
	}
}
