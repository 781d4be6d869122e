package kvrelease_test

import (
	"fmt"
	"time"

	"martenlock/control"
	"martenlock/control/kvrelease"
)

func ExampleScheduler() {
	now := control.Time(1_000_000)
	scheduler := kvrelease.NewScheduler(500 * time.Millisecond)
	scheduler.SetEndpoints([]control.EndpointID{1, 2})
	scheduler.RecordResponse(now, 2)
	scheduler.Enqueue(now, "request-7")

	first := scheduler.Poll(now)
	fmt.Printf("%+v\n", first)

	// Engine 2 does not respond, so engine 1 is called as well.
	next, _ := scheduler.NextPoll()
	fmt.Println("next after", next.Sub(now))
	second := scheduler.Poll(next)
	fmt.Printf("%+v\n", second)

	scheduler.Complete(next, second[0], true)
	fmt.Println("pending:", scheduler.Len())
	// Output:
	// [{Key:request-7 Endpoint:2 Timeout:125ms}]
	// next after 60ms
	// [{Key:request-7 Endpoint:1 Timeout:125ms}]
	// pending: 0
}
