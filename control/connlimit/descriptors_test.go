package connlimit

import "testing"

// TestMaxClientsLeavesDescriptorsToEngines: a quarter of the descriptors, and no fewer than 64, are
// reserved. One client is always admitted.
func TestMaxClientsLeavesDescriptorsToEngines(t *testing.T) {
	for _, c := range []struct{ configured, descriptors, want int }{
		{12000, 20000, 12000},
		{12000, 4000, 3000},
		{12000, 100, 36},
		{10, 20000, 10},
		{10, 8, 1},
	} {
		if n := MaxClients(c.configured, c.descriptors); n != c.want {
			t.Errorf("%+v: %d", c, n)
		}
	}
}

// TestSplitDescriptorsStaysWithinTheLimit: both sides and the reserve add up to the limit if it is large
// enough for one connection a side.
func TestSplitDescriptorsStaysWithinTheLimit(t *testing.T) {
	for descriptors := range 2000 {
		budget := SplitDescriptors(descriptors)
		if budget.Clients < 1 || budget.Engines < 1 || budget.Clients < budget.Engines || budget.Clients > budget.Engines+1 {
			t.Fatalf("%d descriptors: %+v", descriptors, budget)
		}
		if descriptors >= 42 && budget.Clients+budget.Engines+40 != descriptors {
			t.Fatalf("%d descriptors: %+v and a reserve of 40", descriptors, budget)
		}
		if limit := AcceptLimit(budget.Clients); limit != budget.Clients+20 {
			t.Fatalf("%d clients: %d may be accepted", budget.Clients, limit)
		}
	}
}
