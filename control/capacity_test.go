package control

import (
	"testing"
	"time"
)

func TestColocatedEngineTakesNoMoreThanItsShare(t *testing.T) {
	const colocated = 4
	id := RequestID(0)
	for prefix := uint64(1); prefix < 40; prefix++ {
		h := startRouter(t, testSettings(), RolePrefill, RoleDecode, RoleDecode, RoleColocated)
		taken := 0
		for range 40 {
			id++
			request := h.request(id, classIdempotent)
			request.PrefixHash = prefix
			forward := h.arrive(10*ms, request)
			if forward.Endpoint == colocated {
				taken++
				continue
			}
			h.finishPrefill(forward, 0)
		}
		if taken > 20 {
			t.Fatalf("prefix %d: the colocated engine got %d of 40 answers beside two decode engines, want at most 20", prefix, taken)
		}
	}
}

func TestPrefillsInFlightCountAsLoad(t *testing.T) {
	settings := testSettings()
	settings.Engines.Kinds[RoleDecode].MemoryTokens = 2300 // capacity for two requests
	h := startRouter(t, settings, RolePrefill, RoleDecode)
	h.arrive(0, h.request(1, classIdempotent))
	h.arrive(10*ms, h.request(2, classIdempotent))

	if actions := h.handle(10*ms, h.request(3, classIdempotent)); len(actions) != 0 {
		t.Fatalf("request dispatched beyond the capacity of the decode engines: %v", actions)
	}
}

func TestLateLoadReportDoesNotHideOwnAttempts(t *testing.T) {
	settings := testSettings()
	settings.Engines.Kinds[RoleDecode].MemoryTokens = 2400 // capacity for two answers
	settings.Engines.ReportFields = []ReportField{ReportMemory}
	h := startRouter(t, settings, RolePrefill, RoleDecode)
	for id := RequestID(1); id < 3; id++ {
		decode := h.arriveAndPrefill(0, h.request(id, classIdempotent))
		h.startAnswer(0, decode)
	}

	for range 5 { // outdated reports of an empty engine
		h.handle(10*ms, HealthCheckResult{Endpoint: 2, Report: []float64{0}})
	}
	if actions := h.handle(10*ms, h.request(9, classIdempotent)); len(actions) != 0 {
		t.Fatalf("request dispatched because of outdated load reports: %v", actions)
	}
}

func TestCapacityIsSharedAmongManyRouters(t *testing.T) {
	const capacity = 900 // requests
	for _, routers := range []int{3, 300} {
		settings := testSettings()
		settings.Engines.Kinds[RoleDecode].MemoryTokens = 20600 // 20 requests per decode engine, 18 with fullMemory
		dispatched := 0
		for _, h := range startRouters(t, routers, settings, testEndpoints(10, 50)) {
			for i := range 4 * capacity / routers {
				dispatched += count[Forward](h.handle(0, h.request(RequestID(i+1), classIdempotent)))
			}
		}
		if dispatched < 800 || dispatched > 1800 { // many small shares have much slack for random variation
			t.Errorf("%d routers dispatched %d requests, want 800 to 1800 for a capacity of %d", routers, dispatched, capacity)
		}
	}
}

func TestColocatedEnginesGetLessWhileTheirAnswersAreSlow(t *testing.T) {
	countAnswers := func(colocatedTime time.Duration) (colocatedAnswers int) {
		h := startRouter(t, testSettings())
		h.handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(4, 4, 4)})
		for id := RequestID(1); id < 400; id++ {
			forward := h.onlyForward(h.handle(10*ms, h.request(id, classIdempotent), Timer{}))
			attempt, elapsed := AttemptNumber(0), colocatedTime
			if forward.Endpoint <= 4 {
				forward, attempt, elapsed = h.onlyForward(h.finishPrefill(forward, 0)), 1, 100*ms
			} else if id > 200 {
				colocatedAnswers++
			}
			h.handle(20*ms, Outcome{ID: id, Attempt: attempt, Endpoint: forward.Endpoint, Result: OK, Elapsed: elapsed, Final: true})
		}
		return colocatedAnswers
	}
	if usual, slow := countAnswers(100*ms), countAnswers(290*ms); slow == 0 || slow > usual*2/3 {
		t.Fatalf("%d answers at colocated engines as fast as decode engines, %d at slow ones; want at most two thirds", usual, slow)
	}
}

func TestCellListedInTwoZonesServesRequests(t *testing.T) {
	h := startRouter(t, testSettings())
	h.handle(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{
		{ID: 1, State: Ready, Kind: int(RolePrefill), Weight: 1},
		{ID: 2, State: Ready, Kind: int(RoleDecode), Weight: 1, Zone: 1},
	}})
	if decode := h.arriveAndPrefill(0, h.request(1, classIdempotent)); decode.Endpoint != 2 {
		t.Errorf("decoded at endpoint %d, want 2", decode.Endpoint)
	}
}
