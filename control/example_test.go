package control_test

import (
	"fmt"
	"time"

	"martenlock/control"
)

// A router with one prefill engine and one decode engine forwards a request to both in turn.
func Example() {
	settings := control.Settings{
		Identity: control.RouterIdentity{Routers: 1},
		Engines: control.EngineSettings{
			Kinds: []control.EngineKind{{Role: control.RolePrefill}, {Role: control.RoleDecode}},
		},
		Limits:  control.Limits{MaxAttempts: 3, KVRetentionLimit: 500 * time.Millisecond},
		Classes: []control.Class{{TTFTObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 1}},
	}
	now := control.Time(0)
	router := control.New(settings, now)
	step := func(after time.Duration, events ...control.Event) {
		now = now.Add(after)
		for _, action := range router.Handle(now, events) {
			if forward, ok := action.(control.Forward); ok {
				fmt.Printf("forward request %d to endpoint %d\n", forward.ID, forward.Endpoint)
			}
		}
	}
	step(0, control.EndpointUpdate{Full: true, Endpoints: []control.Endpoint{
		{ID: 1, State: control.Ready, Kind: 0, Weight: 1},
		{ID: 2, State: control.Ready, Kind: 1, Weight: 1},
	}})
	step(0, control.Request{ID: 7, SessionID: 1, PromptTokens: 900, MaxTokens: 100, Deadline: now.Add(5 * time.Second)})
	step(50*time.Millisecond, control.Outcome{ID: 7, Endpoint: 1, Result: control.PrefillDone, Elapsed: 50 * time.Millisecond})
	// Output:
	// forward request 7 to endpoint 1
	// forward request 7 to endpoint 2
}
