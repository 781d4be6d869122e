package batching_test

import (
	"fmt"
	"time"

	"martenlock/control"
	"martenlock/control/batching"
	"martenlock/control/outcome"
)

// With one endpoint, the first request is sent at once. The two that arrive before it ends share the next
// batch.
func Example() {
	batcher := batching.NewBatcher(batching.Settings{
		BatchTokens: 1000,
		BatchItems:  8,
		MaxWait:     20 * time.Millisecond,
	})
	batcher.SetReadyEndpoints(1)
	now := control.Time(0)
	deadline := now.Add(time.Second)
	for id := range batching.RequestID(3) {
		batcher.Enqueue(now, batching.Key{}, batching.Request{
			ID:        id,
			Items:     1,
			Tokens:    10,
			Objective: deadline,
			Deadline:  deadline,
		})
		for _, batch := range batcher.Poll(now).Batches {
			fmt.Println("batch", batch.ID, "of requests", batch.Requests)
		}
	}
	batcher.Complete(now, 1, batching.BatchResult{Outcome: outcome.Served, Attempts: 1, MaxAttempts: 2})
	for _, batch := range batcher.Poll(now).Batches {
		fmt.Println("batch", batch.ID, "of requests", batch.Requests)
	}
	// Output:
	// batch 1 of requests [0]
	// batch 2 of requests [1 2]
}
