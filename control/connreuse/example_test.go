package connreuse_test

import (
	"fmt"
	"time"

	"martenlock/control"
	"martenlock/control/connreuse"
)

func ExamplePolicy() {
	const (
		now  = control.Time(1_000_000)
		idle = 300 * time.Millisecond
	)
	var policy connreuse.Policy
	fmt.Println("retriable, no observations:", policy.MayReuse(now, idle, false))
	fmt.Println("not idempotent, no observations:", policy.MayReuse(now, idle, true))

	for range 17 {
		policy.RecordOutcome(now, connreuse.Outcome{Idle: idle, Elapsed: 20 * time.Millisecond})
	}
	fmt.Println("not idempotent, after 17 successes:", policy.MayReuse(now, idle, true))
	// Output:
	// retriable, no observations: true
	// not idempotent, no observations: false
	// not idempotent, after 17 successes: true
}
