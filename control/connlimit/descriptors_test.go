package connlimit

import "testing"

// TestMaxClientsLeavesDescriptorsToEngines: a quarter of the descriptors, but at least 64, are reserved.
// At least one client connection is allowed.
func TestMaxClientsLeavesDescriptorsToEngines(t *testing.T) {
	for _, c := range []struct{ configured, descriptors, want int }{
		{12000, 20000, 12000},
		{12000, 4000, 3000},
		{12000, 100, 36},
		{10, 20000, 10},
		{10, 8, 1},
	} {
		if got := MaxClients(c.configured, c.descriptors); got != c.want {
			t.Errorf("MaxClients(%d, %d) = %d, want %d", c.configured, c.descriptors, got, c.want)
		}
	}
}

// TestSplitDescriptorsStaysWithinTheLimit: the connections to clients and engines and the reserved
// descriptors add up to the limit, if the limit is large enough for one connection each.
func TestSplitDescriptorsStaysWithinTheLimit(t *testing.T) {
	for descriptors := range 2000 {
		budget := SplitDescriptors(descriptors)
		if budget.Clients < 1 || budget.Engines < 1 ||
			budget.Clients < budget.Engines || budget.Clients > budget.Engines+1 {
			t.Fatalf("%d descriptors: %+v, want an even split", descriptors, budget)
		}
		if descriptors >= 42 && budget.Clients+budget.Engines+40 != descriptors {
			t.Fatalf("%d descriptors: %+v and 40 reserved descriptors do not add up to it", descriptors, budget)
		}
		if limit := AcceptLimit(budget.Clients); limit != budget.Clients+20 {
			t.Fatalf("AcceptLimit(%d) = %d, want 20 more", budget.Clients, limit)
		}
	}
}
