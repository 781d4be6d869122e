package control

import (
	"testing"
	"time"
)

func TestSessionReturnsToItsLastPrefillEngine(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RolePrefill, RolePrefill, RoleDecode)
	first := h.request(1, classIdempotent)
	first.SessionID, first.PrefixHash = 77, 5
	prefill := h.arrive(0, first)
	h.onlyForward(h.finishPrefill(prefill, 0))

	second := h.request(2, classIdempotent)
	second.SessionID, second.PrefixHash = 77, 6
	if again := h.arrive(time.Second, second); again.Endpoint != prefill.Endpoint {
		t.Fatalf("requests of one session prefilled at endpoints %d and %d", prefill.Endpoint, again.Endpoint)
	}
}

func TestRetryWithKeyStaysInItsCellAndWindow(t *testing.T) {
	// Given three cells with two decode engines each, endpoints 10 to 15.
	h := startRouter(t, testSettings(), RolePrefill)
	var decodeEngines []Endpoint
	for i := range 6 {
		decodeEngines = append(decodeEngines, Endpoint{
			ID: EndpointID(10 + i), State: Ready, Kind: int(RoleDecode), Weight: 1, Cell: uint16(1 + i/2),
		})
	}
	h.handle(0, EndpointUpdate{Endpoints: decodeEngines})

	// When an attempt fails within the window, then its retry goes to the same cell, and nothing follows its
	// answer.
	for id := RequestID(1); id < 4; id++ {
		decode := h.arriveAndPrefill(0, h.request(id, classWithKey))
		retry := h.onlyForward(h.end(10*ms, decode, 1, Failed))
		if (retry.Endpoint-10)/2 != (decode.Endpoint-10)/2 {
			t.Fatalf("first executed at endpoint %d, repeated at %d in another cell", decode.Endpoint, retry.Endpoint)
		}
		actions := h.handle(2*time.Second, Outcome{ID: id, Attempt: 2, Endpoint: retry.Endpoint, Result: OK, Final: true})
		h.ticks(6 * time.Second)
		if count[Forward](actions) != 0 {
			t.Fatalf("forwarded after the request was answered: %v", actions)
		}
	}

	// When an attempt fails after the window, then there is no retry.
	decode := h.arriveAndPrefill(0, h.request(10, classWithKey))
	actions := h.end(2*time.Second, decode, 1, Failed)
	if count[Forward](actions) != 0 || count[Fail](actions) != 1 {
		t.Fatalf("want a Fail and no Forward after the window, got %v", actions)
	}
}

func TestColocatedEngineDecodesIfThereIsNoDecodeEngine(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill)
	prefill := h.arrive(0, h.request(1, classIdempotent))
	h.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: 2, State: Ready, Kind: int(RoleColocated), Weight: 1}}})
	if decode := h.onlyForward(h.finishPrefill(prefill, 0)); decode.Endpoint != 2 {
		t.Fatalf("forwarded to endpoint %d, want 2", decode.Endpoint)
	}
}

// TestColocatedPoolSpreadsRequestsWithoutSession: requests without a session, such as embeddings, spread over
// the pool even if only one is in flight at a time, and create no session. Without decode engines, the load
// that one session puts on a colocated engine is still bounded.
func TestColocatedPoolSpreadsRequestsWithoutSession(t *testing.T) {
	h := startRouter(t, testSettings(), RoleColocated, RoleColocated, RoleColocated, RoleColocated)
	attempts := map[EndpointID]int{}
	for id := RequestID(1); id <= 80; id++ {
		request := h.request(id, classIdempotent)
		request.SessionID, request.PrefixHash = 0, 0
		forward := h.arrive(ms, request)
		attempts[forward.Endpoint]++
		h.answer(ms, forward, 0)
	}
	for id, n := range attempts {
		if n > 40 {
			t.Errorf("endpoint %d got %d of 80 requests, want at most 40", id, n)
		}
	}
	if len(attempts) != 4 || len(h.router.sessions) != 0 {
		t.Errorf("%d endpoints used, want 4; %d sessions created, want 0", len(attempts), len(h.router.sessions))
	}

	clear(attempts)
	for id := range RequestID(60) {
		request := h.request(id+100, classIdempotent)
		request.SessionID, request.PrefixHash = uint64(id%2*7), 0
		attempts[h.arrive(ms, request).Endpoint]++
	}
	for id, n := range attempts {
		if n > 30 {
			t.Errorf("endpoint %d has %d of 60 requests in flight, want at most 30", id, n)
		}
	}
}

func TestPopularPrefixIsSpreadByFewAndManyRouters(t *testing.T) {
	for _, routers := range []int{3, 60} {
		all := startRouters(t, routers, testSettings(), testEndpoints(20, 20))
		forwards := playRequests(all, 1200/routers, func(h *harness, id RequestID) Request {
			request := h.request(id, classIdempotent)
			if id%2 == 0 {
				request.PrefixHash, request.PrefixTokens = 5, 800
			}
			return request
		})
		busy := 0
		for id := EndpointID(1); id <= 20; id++ {
			if forwards[id] > 60 {
				busy++
			}
			if forwards[id] > 240 {
				t.Errorf("%d routers: prefill engine %d got %d of 1200 prefills, want at most 240", routers, id, forwards[id])
			}
		}
		if busy < 4 {
			t.Errorf("%d routers: only %d prefill engines got more than 60 prefills, want at least 4", routers, busy)
		}
	}
}

func TestRarePrefixHasTheSameEngineAtAllRouters(t *testing.T) {
	used := map[EndpointID]bool{}
	for _, h := range startRouters(t, 60, testSettings(), testEndpoints(20, 20)) {
		playRequests([]*harness{h}, 30, func(h *harness, id RequestID) Request { return h.request(id, classIdempotent) })
		request := h.request(1, classIdempotent)
		request.PrefixHash = 77
		used[h.arrive(10*ms, request).Endpoint] = true
	}
	if len(used) > 2 {
		t.Fatalf("60 routers prefilled a rare prefix at %d prefill engines, want at most 2", len(used))
	}
}

func TestKVStateStaysInItsCellWhileCellsAreBalanced(t *testing.T) {
	h := startRouter(t, testSettings())
	h.handle(0, EndpointUpdate{Full: true, Endpoints: testEndpoints(8, 8)}) // one engine of each role in each cell
	for id := RequestID(1); id < 30; id++ {
		prefill := h.arrive(10*ms, h.request(id, classIdempotent))
		decode := h.onlyForward(h.finishPrefill(prefill, 0))
		if prefill.Endpoint%8 != decode.Endpoint%8 {
			t.Fatalf("prefilled at endpoint %d, decoded at %d in another cell", prefill.Endpoint, decode.Endpoint)
		}
		h.answer(10*ms, decode, 1)
	}
}

func TestCellWithoutDecodeEnginesUsesSpareCapacityOfOthers(t *testing.T) {
	list := testEndpoints(8, 8)
	for i := range list[8:] { // all decode engines are in cells 4 to 7
		list[8+i].Cell = uint16(4 + i%4)
	}
	routers := startRouters(t, 3, testSettings(), list)
	forwards := playRequests(routers, 200, func(h *harness, id RequestID) Request { return h.request(id, classIdempotent) })
	for id := EndpointID(9); id <= 16; id++ {
		if forwards[id] < 40 || forwards[id] > 120 {
			t.Errorf("decode engine %d got %d of 600 answers, want 40 to 120", id, forwards[id])
		}
	}
}
