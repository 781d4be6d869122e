package control

import (
	"reflect"
	"testing"
	"time"
)

func TestRequestIsPrefilledThenDecoded(t *testing.T) {
	h := startRouter(t, testSettings(), RolePrefill, RoleDecode)

	prefill := h.arrive(0, h.request(1, classIdempotent))
	decode := h.onlyForward(h.finishPrefill(prefill, 0))
	if prefill.Endpoint != 1 || decode.Endpoint != 2 {
		t.Fatalf("prefilled at endpoint %d, want 1; decoded at %d, want 2", prefill.Endpoint, decode.Endpoint)
	}

	h.startAnswer(10*ms, decode)
	actions := h.answer(time.Second, decode, 1)
	if count[Forward](actions)+count[Reject](actions)+count[Fail](actions) != 0 {
		t.Fatalf("want no Forward, Reject or Fail after the answer, got %v", actions)
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	play := func() []Action {
		h := startRouter(t, testSettings(), RolePrefill, RolePrefill, RoleDecode, RoleDecode, RoleColocated)
		for id := range RequestID(200) {
			request := h.request(id+1, int(id%3))
			for _, forward := range actionsOf[Forward](h.handle(5*ms, request, Timer{})) {
				h.end(ms, forward, 0, []Result{PrefillDone, Failed, Reset, Rejected}[int(id)%4])
			}
		}
		return h.actions
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) {
		t.Fatal("the same events gave different actions")
	}
}
