package control

import (
	"testing"
	"time"
)

func TestColocatedEngineTakesNoMoreThanItsShare(t *testing.T) {
	id := RequestID(0)
	for prefix := uint64(1); prefix < 40; prefix++ {
		s := startRouter(t, testSettings(RolePrefill, RoleDecode, RoleColocated), 0, 1, 1, 2)
		colocated := 0
		for range 40 {
			id++
			request := s.request(id, 0)
			request.PrefixHash = prefix
			forward := s.onlyForward(s.handle(10*ms, request))
			if forward.Endpoint == 4 {
				colocated++
				continue
			}
			s.finishPrefill(forward, 0)
		}
		if colocated > 20 {
			t.Fatalf("prefix %d: %d of 40 answers at the one colocated engine beside two decode engines", prefix, colocated)
		}
	}
}

func TestPrefillsInFlightCountAsLoad(t *testing.T) {
	settings := testSettings(RolePrefill, RoleDecode)
	settings.Engines.Kinds[1].MemoryTokens = 2300 // capacity for two requests
	s := startRouter(t, settings, 0, 1)
	s.onlyForward(s.handle(0, s.request(1, 0)))
	s.onlyForward(s.handle(10*ms, s.request(2, 0)))
	if actions := s.handle(10*ms, s.request(3, 0)); len(actions) != 0 {
		t.Fatalf("released beyond the capacity of the decode engines: %v", actions)
	}
}

func TestLateLoadReportDoesNotHideOwnAttempts(t *testing.T) {
	settings := testSettings(RolePrefill, RoleDecode)
	settings.Engines.Kinds[1].MemoryTokens = 2400
	settings.Engines.ReportFields = []ReportField{ReportMemory}
	s := startRouter(t, settings, 0, 1)
	for id := RequestID(1); id < 3; id++ { // two answers fill the decode engine
		decode := s.onlyForward(s.finishPrefill(s.onlyForward(s.handle(0, s.request(id, 0))), 0))
		s.handle(0, AnswerStarted{ID: id, Endpoint: decode.Endpoint, Attempt: 1})
	}
	for range 5 { // reports from before that still call it empty
		s.handle(10*ms, HealthCheckResult{Endpoint: 2, Report: []float64{0}})
	}
	if actions := s.handle(10*ms, s.request(9, 0)); len(actions) != 0 {
		t.Fatalf("released on the word of an old report: %v", actions)
	}
}

func TestCapacityIsSharedAmongManyRouters(t *testing.T) {
	for _, routers := range []int{3, 300} {
		settings := testSettings(RolePrefill, RoleDecode)
		settings.Engines.Kinds[1].MemoryTokens = 20600 // 20 requests a decode engine, 18 under the limit
		sent := 0
		for _, s := range startRouters(t, routers, settings, testEndpoints(10, 50)) {
			for i := range 4 * 900 / routers { // four times what fits
				sent += len(actionsOf[Forward](s.handle(0, s.request(RequestID(i+1), 0))))
			}
		}
		if sent < 800 || sent > 1800 { // slack for chance is the larger the smaller a share is
			t.Errorf("%d routers released %d where 900 fit", routers, sent)
		}
	}
}

func TestColocatedEnginesGetLessWhileTheirAnswersAreSlow(t *testing.T) {
	share := func(took time.Duration) (colocated int) {
		s := startRouter(t, testSettings(RolePrefill, RoleDecode, RoleColocated))
		s.handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(4, 4, 4)})
		for id := RequestID(1); id < 400; id++ {
			forward, attempt, d := s.onlyForward(s.handle(10*ms, s.request(id, 0), Timer{})), AttemptNumber(0), took
			if forward.Endpoint <= 4 {
				forward, attempt, d = s.onlyForward(s.finishPrefill(forward, 0)), 1, 100*ms
			} else if id > 200 {
				colocated++
			}
			s.handle(20*ms, Outcome{ID: id, Attempt: attempt, Endpoint: forward.Endpoint, Result: OK, Elapsed: d, Final: true})
		}
		return colocated
	}
	if usual, slow := share(100*ms), share(290*ms); slow == 0 || slow > usual*2/3 {
		t.Fatalf("%d answers at colocated engines as fast as decode engines, %d at slow ones", usual, slow)
	}
}

// TestCellListedInTwoZonesIsHarmless: a list that has one cell in two zones harms nobody.
func TestCellListedInTwoZonesIsHarmless(t *testing.T) {
	s := startRouter(t, testSettings(RolePrefill, RoleDecode))
	s.handle(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{{ID: 1, State: Ready, Weight: 1}, {ID: 2, State: Ready, Kind: 1, Zone: 1, Weight: 1}}})
	if decode := s.onlyForward(s.finishPrefill(s.onlyForward(s.handle(0, s.request(1, 0))), 0)); decode.Endpoint != 2 {
		t.Errorf("decoded at %d", decode.Endpoint)
	}
}
