package batching

import (
	"testing"

	"pgregory.net/rapid"

	_ "martenlock/internal/proptest"
)

// TestRetriesAreSequentialUntilOneLosesItsConnection: requests are retried one at a time until one has lost
// its connection. Each is retried once, and cancelled requests do not delay the others.
func TestRetriesAreSequentialUntilOneLosesItsConnection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var retry SequentialRetry
		count := rapid.IntRange(0, 8).Draw(t, "requests")
		for i := range count {
			retry.Add(RequestID(i))
		}
		outstanding, ended := map[RequestID]bool{}, map[RequestID]bool{}
		causeFound := false
		for len(ended) < count {
			for _, id := range retry.Start() {
				if outstanding[id] || ended[id] {
					t.Fatalf("request %d is retried twice", id)
				}
				outstanding[id] = true
			}
			remaining := count - len(ended)
			if len(outstanding) == 0 || !causeFound && len(outstanding) > 1 ||
				causeFound && len(outstanding) < remaining {
				t.Fatalf("%d of %d remaining requests are outstanding, cause found: %v",
					len(outstanding), remaining, causeFound)
			}
			id := RequestID(rapid.Uint64Range(0, uint64(count-1)).Draw(t, "ends"))
			if ended[id] {
				continue
			}
			connectionLost := outstanding[id] && rapid.Bool().Draw(t, "lost engine")
			causeFound = causeFound || connectionLost
			retry.Complete(id, connectionLost)
			delete(outstanding, id)
			ended[id] = true
		}
	})
}
