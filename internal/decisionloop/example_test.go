package decisionloop_test

import (
	"fmt"
	"time"

	"martenlock/control"
	"martenlock/internal/decisionloop"
	"martenlock/internal/eventloop"
)

// printingExchange prints actions instead of executing them.
type printingExchange struct{}

func (printingExchange) Forward(action control.Forward) {
	fmt.Printf("forward request %d to endpoint %d\n", action.ID, action.Endpoint)
}
func (printingExchange) Reject(control.Reject)               { fmt.Println("reject") }
func (printingExchange) Fail(control.Fail)                   { fmt.Println("fail") }
func (printingExchange) ReleaseKV(control.ReleaseKV)         { fmt.Println("release KV") }
func (printingExchange) CancelAttempt(control.AttemptNumber) { fmt.Println("cancel attempt") }

// The mailbox passes an endpoint update and a request to the module together, at the end of the loop's
// iteration. The exchange of the request executes the action that the module returns.
func ExampleMailbox() {
	loop, err := eventloop.New(eventloop.Options{})
	if err != nil {
		fmt.Println(err)
		return
	}
	settings := control.Settings{
		Identity: control.RouterIdentity{Routers: 1},
		Engines:  control.EngineSettings{Kinds: []control.EngineKind{{Role: control.RoleColocated}}},
		Limits:   control.Limits{MaxAttempts: 1},
		Classes:  []control.Class{{TTFTObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 1}},
	}
	mailbox := decisionloop.Mailbox[printingExchange]{
		Loop:      loop,
		Router:    control.New(settings, 0),
		Exchanges: map[control.RequestID]printingExchange{7: {}},
		Now:       func() control.Time { return 0 },
		AfterPoll: loop.Stop,
	}
	mailbox.Push(control.EndpointUpdate{Full: true, Endpoints: []control.Endpoint{{ID: 1, State: control.Ready, Weight: 1}}})
	mailbox.Push(control.Request{ID: 7, PromptTokens: 900, MaxTokens: 100, Deadline: control.Time(0).Add(5 * time.Second)})
	loop.Post(func() {}) // wakes the loop
	if err := loop.Run(); err != nil {
		fmt.Println(err)
	}
	// Output:
	// forward request 7 to endpoint 1
}
