package control

import (
	"testing"
	"time"
)

func TestEndpointInSlowStartGetsASmallShare(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode), 0, 0, 1)
	id := RequestID(0)
	count := func(n int) (slowStarting int) {
		for range n {
			id++
			request := s.request(id, 0)
			forward := s.onlyForward(s.handle(10*ms, request))
			if forward.Endpoint == 2 {
				slowStarting++
			}
			s.finishPrefill(forward, 0)
			s.handle(0, Outcome{ID: id, Attempt: 1, Endpoint: 3, Result: OK, Elapsed: 10 * ms, Final: true}, Timer{})
		}
		return slowStarting
	}
	warmedUp := count(100)
	s.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 2, State: Ready, Kind: 0, StartedAt: s.now, Weight: 1}}})
	slowStarting := count(100)
	if warmedUp < 20 || slowStarting == 0 || slowStarting > warmedUp/2 {
		t.Fatalf("%d attempts while warmed up, %d in slow start", warmedUp, slowStarting)
	}
}

func TestSlowStartShareHoldsForFewAndManyRouters(t *testing.T) {
	for _, routers := range []int{3, 60} {
		all := startRouters(t, routers, testSettings(RolePrefill, RoleDecode), testEndpoints(4, 4))
		for _, s := range all {
			s.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 1, State: Ready, Weight: 1, Cell: 1, StartedAt: s.now}}})
			s.router.settings.SlowStart.Duration = time.Hour
		}
		forwards := playRequests(all, 1200/routers, func(s *script, id RequestID) Request { return s.request(id, 0) })
		if forwards[1] == 0 || forwards[1] > forwards[2]/2 {
			t.Errorf("%d routers sent %d to a prefill engine in slow start, %d to one that was warmed up", routers, forwards[1], forwards[2])
		}
	}
}

func TestRejectedRequestIsNotRetriedInSlowStart(t *testing.T) {
	all := startRouters(t, 60, testSettings(RolePrefill, RoleDecode), testEndpoints(3, 1))
	slowStarting := 0
	for i, s := range all {
		s.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 1, State: Ready, Weight: 1, StartedAt: s.now}}})
		id := RequestID(5000 + 97*i)
		actions := s.handle(0, s.request(id, 0))
		for attempt := AttemptNumber(0); len(actionsOf[Forward](actions)) > 0; attempt++ {
			forward := s.onlyForward(actions)
			if forward.Endpoint == 1 {
				slowStarting++
			}
			actions = s.handle(ms, Outcome{ID: id, Attempt: attempt, Endpoint: forward.Endpoint, Result: Rejected})
		}
	}
	if slowStarting > 11 { // a quarter of the requests may go there, each at its first attempt alone
		t.Fatalf("60 requests rejected by prefill engines that were warmed up sent %d times to the one in slow start", slowStarting)
	}
}
