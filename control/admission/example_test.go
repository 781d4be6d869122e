package admission_test

import (
	"fmt"
	"time"

	"martenlock/control"
	"martenlock/control/admission"
)

// A large request of two units is served by one endpoint. The second unit is admitted after the first has
// ended.
func Example() {
	queue := admission.NewQueue(admission.Settings{LargeTokens: 500})
	queue.SetReadyEndpoints(1)
	start := control.Time(0)
	request := admission.Request{ID: 1, UnitTokens: []float64{1000, 1000}, Deadline: start.Add(time.Minute)}
	if rejection, rejected := queue.Enqueue(start, request); rejected {
		fmt.Println("retry after", rejection.RetryAfter)
	}
	first := queue.Poll(start).Admitted
	fmt.Println(first, queue.Poll(start).Admitted)

	end := start.Add(100 * time.Millisecond)
	queue.Complete(end, first[0], admission.UnitServed)
	fmt.Println(queue.Poll(end).Admitted)
	// Output:
	// [{1 0}] []
	// [{1 1}]
}
