package scatter_test

import (
	"fmt"

	"martenlock/control"
	"martenlock/control/outcome"
	"martenlock/control/scatter"
)

// Four items are split into shards of at most 500 tokens. The answers are merged after both shards were
// served.
func Example() {
	shards := scatter.Plan([]float64{200, 200, 200, 200}, scatter.Limits{ShardTokens: 500})
	fmt.Println(shards)

	gather := scatter.NewGather(scatter.Request{Shards: len(shards), Class: control.Class{Idempotency: control.Idempotent}})
	served := scatter.ShardEnd{Outcome: outcome.Served}
	fmt.Println(gather.Complete(1, served), gather.Outstanding())
	fmt.Println(gather.Complete(0, served))
	// Output:
	// [{0 2} {2 4}]
	// wait [0]
	// merge
}
