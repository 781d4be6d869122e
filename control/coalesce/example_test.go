package coalesce_test

import (
	"fmt"
	"time"

	"martenlock/control"
	"martenlock/control/coalesce"
	"martenlock/control/outcome"
)

// Of two requests with the same key, the first is computed and the second gets the same answer.
func Example() {
	group := coalesce.NewGroup()
	deadline := control.Time(0).Add(time.Second)
	fmt.Println(group.Add(coalesce.Key{}, 1, deadline))
	fmt.Println(group.Add(coalesce.Key{}, 2, deadline))
	fmt.Println(group.Complete(1, outcome.Served).SameResult)
	// Output:
	// true
	// false
	// [2]
}
