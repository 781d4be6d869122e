// Package eventlooptest runs event loops for the tests of other packages. The tests of eventloop itself
// cannot import it.
package eventlooptest

import (
	"testing"

	"martenlock/internal/eventloop"
)

// Loop is an event loop that runs until its test ends.
type Loop struct{ *eventloop.Loop }

// Start runs a loop in the background until the test ends. If the loop returns an error, the test fails.
func Start(t *testing.T) Loop {
	t.Helper()
	loop, err := eventloop.New(eventloop.Options{})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- loop.Run() }()
	t.Cleanup(func() {
		loop.Post(loop.Stop)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return Loop{loop}
}

// Do runs fn on the loop and waits for it to return. fn must not call t.FailNow or t.Fatal, as it runs on
// another goroutine.
func (l Loop) Do(fn func()) {
	done := make(chan struct{})
	l.Post(func() {
		defer close(done)
		fn()
	})
	<-done
}

// DoIteration runs fn on the loop and waits for the end of that iteration.
func (l Loop) DoIteration(fn func()) {
	l.Do(fn)
	l.Do(func() {}) // runs in a later iteration, as it is posted after fn has returned
}
