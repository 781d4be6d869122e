package kvrelease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"martenlock/control"
)

const ms = time.Millisecond

func at(elapsed time.Duration) control.Time { return control.Time(1e9).Add(elapsed) }

// TestLatestResponderIsCalledFirst: the engine that responded most recently is called first, and engines
// that failed are called last. After a success no engine is called again.
func TestLatestResponderIsCalledFirst(t *testing.T) {
	scheduler := NewScheduler(500 * ms)
	scheduler.SetEndpoints([]control.EndpointID{4, 3, 2, 1})
	scheduler.RecordResponse(at(1*ms), 1)
	scheduler.RecordResponse(at(2*ms), 3)
	scheduler.RecordResponse(at(3*ms), 2)
	scheduler.RecordFailure(at(4*ms), 2)
	scheduler.Enqueue(at(5*ms), "q")
	scheduler.Enqueue(at(5*ms), "q")

	var order []control.EndpointID
	for now := 5 * ms; len(order) < 4 && now < time.Second; now += ms {
		for _, call := range scheduler.Poll(at(now)) {
			order = append(order, call.Endpoint)
		}
	}
	scheduler.Complete(at(time.Second), Call{Key: "q", Endpoint: 4}, true)

	if !slices.Equal(order, []control.EndpointID{3, 1, 4, 2}) {
		t.Errorf("called engines %v, want 3, 1, 4, 2", order)
	}
	if scheduler.Len() != 0 || scheduler.Poll(at(2*time.Second)) != nil {
		t.Error("called again after a success")
	}
}

// TestOnlyResponsiveEngineIsCalledWithinTheLimit: if only one engine is responsive, it is called within
// the retention limit.
func TestOnlyResponsiveEngineIsCalledWithinTheLimit(t *testing.T) {
	for responsive := range 5 {
		scheduler := NewScheduler(500 * ms)
		var listed []control.EndpointID
		for i := range 5 {
			listed = append(listed, control.EndpointID(i+1))
			scheduler.SetEndpoints(listed)
			scheduler.RecordResponse(at(time.Duration(i)*ms), control.EndpointID(i+1))
		}
		scheduler.Enqueue(at(5*ms), "q")

		for now := 5 * ms; scheduler.Len() > 0; now += ms {
			if now > 505*ms {
				t.Fatalf("engine %d was not called in time", responsive+1)
			}
			for _, call := range scheduler.Poll(at(now)) {
				if int(call.Endpoint) == responsive+1 {
					scheduler.Complete(at(now), call, true)
				}
			}
		}
	}
}

// TestUnreachableEnginesAreRetriedAtABoundedRate: engines that cannot be reached are called in turn at a
// moderate rate, until the release is dropped.
func TestUnreachableEnginesAreRetriedAtABoundedRate(t *testing.T) {
	scheduler := NewScheduler(100 * ms)
	scheduler.SetEndpoints([]control.EndpointID{1, 2})
	scheduler.Enqueue(at(0), "q")

	calls := 0
	for now := time.Duration(0); now < 10*time.Second; now += ms {
		for _, call := range scheduler.Poll(at(now)) {
			calls++
			scheduler.Complete(at(now), call, false)
		}
	}

	if calls < 20 || calls > 600 || scheduler.Len() != 0 || scheduler.Dropped() != 1 {
		t.Errorf("%d calls, %d pending, %d dropped; want 20 to 600 calls, none pending, 1 dropped",
			calls, scheduler.Len(), scheduler.Dropped())
	}
}

// TestStateIsBounded: the numbers of calls in flight, pending releases and entries for engines are
// bounded. No engine is called for a withdrawn release.
func TestStateIsBounded(t *testing.T) {
	scheduler := NewScheduler(500 * ms)
	for i := range MaxPending + 10 {
		scheduler.Enqueue(at(0), fmt.Sprint(i))
	}
	if scheduler.Len() != MaxPending || scheduler.Dropped() != 10 {
		t.Errorf("%d pending, %d dropped; want %d and 10", scheduler.Len(), scheduler.Dropped(), MaxPending)
	}

	if !scheduler.Withdraw("10") || scheduler.Withdraw("10") {
		t.Error("a pending release was not withdrawn exactly once")
	}

	var listed []control.EndpointID
	for id := range control.EndpointID(12) {
		listed = append(listed, id+1)
	}
	scheduler.SetEndpoints(listed)
	calls := scheduler.Poll(at(0))
	if len(calls) != maxCalls || calls[0].Key != "11" {
		t.Errorf("%d calls, the first for release %s; want %d and 11", len(calls), calls[0].Key, maxCalls)
	}
	callsByEngine := map[control.EndpointID]int{}
	for _, call := range calls {
		callsByEngine[call.Endpoint]++
		if callsByEngine[call.Endpoint] > 4 { // limits the releases that an unresponsive engine delays
			t.Errorf("%d calls to engine %d, want at most 4", callsByEngine[call.Endpoint], call.Endpoint)
		}
	}

	// Engines are added and removed, and some respond after their removal.
	for id := range control.EndpointID(1000) {
		scheduler.SetEndpoints([]control.EndpointID{id, id + 1})
		scheduler.RecordResponse(at(0), id)
		scheduler.RecordFailure(at(0), id)
		scheduler.RecordResponse(at(0), id-1)
	}
	if entries := len(scheduler.endpoints.lastResponse) + len(scheduler.endpoints.lastFailure); entries > 4 {
		t.Errorf("%d recorded responses and failures for two engines, want at most 4", entries)
	}
}

// TestManyReleasesEndInTimeDespiteUnresponsiveEngines: many simultaneous releases all end within the
// retention limit plus the 300 ms that the platform allows, although the engines that responded most
// recently have become unresponsive.
func TestManyReleasesEndInTimeDespiteUnresponsiveEngines(t *testing.T) {
	for unresponsive := range 4 {
		for _, releases := range []int{1, 60, 400} {
			releaseWithUnresponsiveEngines(t, unresponsive, releases)
		}
	}
}

// releaseWithUnresponsiveEngines schedules releases on five engines. Those that responded most recently
// have become unresponsive, the others take 2 ms.
func releaseWithUnresponsiveEngines(t *testing.T, unresponsive, releases int) {
	t.Helper()
	const limit = 500 * ms
	scheduler := NewScheduler(limit)
	scheduler.SetEndpoints([]control.EndpointID{1, 2, 3, 4, 5})
	for id := range control.EndpointID(5) {
		scheduler.RecordResponse(at(time.Duration(id)*ms), id+1)
	}
	for i := range releases {
		scheduler.Enqueue(at(10*ms), fmt.Sprint(i))
	}
	type callInFlight struct {
		Call
		endsAt time.Duration
	}
	var inFlight []callInFlight
	mostInFlight := 0
	isResponsive := func(id control.EndpointID) bool { return int(id) <= 5-unresponsive }
	for now := 10 * ms; scheduler.Len() > 0; now += ms {
		if now > 10*ms+limit+300*ms {
			t.Errorf("%d unresponsive engines: %d of %d releases are still pending",
				unresponsive, scheduler.Len(), releases)
			break
		}
		inFlight = slices.DeleteFunc(inFlight, func(call callInFlight) bool {
			if call.endsAt > now {
				return false
			}
			scheduler.Complete(at(now), call.Call, isResponsive(call.Endpoint))
			return true
		})
		for _, call := range scheduler.Poll(at(now)) {
			endsAt := now + call.Timeout
			if isResponsive(call.Endpoint) {
				endsAt = now + 2*ms
			}
			inFlight = append(inFlight, callInFlight{call, endsAt})
		}
		mostInFlight = max(mostInFlight, len(inFlight))
	}
	if mostInFlight > maxCalls {
		t.Errorf("%d calls in flight, want at most %d", mostInFlight, maxCalls)
	}
}

// TestUnresponsiveEngineIsCalledLast: an engine that made no progress on a request is called after the
// others, unless it has responded to any request since then.
func TestUnresponsiveEngineIsCalledLast(t *testing.T) {
	for respondedAt, want := range map[time.Duration]control.EndpointID{10 * ms: 1, 60 * ms: 2} {
		scheduler := NewScheduler(500 * ms)
		scheduler.SetEndpoints([]control.EndpointID{1, 2})
		scheduler.RecordResponse(at(5*ms), 1)
		scheduler.RecordResponse(at(respondedAt), 2)
		scheduler.RecordUnresponsive(at(300*ms), at(50*ms), 2)
		scheduler.Enqueue(at(300*ms), "q")

		calls := scheduler.Poll(at(300 * ms))

		if len(calls) != 1 || calls[0].Endpoint != want {
			t.Errorf("responded at %v: called %v, want engine %d", respondedAt, calls, want)
		}
	}
}
