package fakeengine

import (
	"net/http"
	"strings"
	"testing"

	"martenlock/control"
)

func TestEngineRecordsAttemptsAndKVStates(t *testing.T) {
	c := newTestCluster(t)
	engine := c.start("prefill", control.RolePrefill)
	post(engine, chatPath, chatBody(`,"kv_transfer_params":{"do_remote_decode":true}`))
	post(engine, "/abort_requests", `{"request_ids":["request-1"]}`)
	engine.Kill()

	events := c.recording.Events()
	var seen []string
	for _, event := range events {
		seen = append(seen, event.Kind.String())
	}
	const want = "attempt began, KV state retained, attempt ended, KV state released, engine died"
	if got := strings.Join(seen, ", "); got != want {
		t.Errorf("recorded %q, want %q", got, want)
	}
}

func TestRestartedEngineAnswersAtTheSameAddressWithoutKVState(t *testing.T) {
	c := newTestCluster(t)
	engine := c.start("prefill", control.RolePrefill)
	address := engine.Addr()
	request := chatBody(`,"kv_transfer_params":{"do_remote_decode":true}`)
	post(engine, chatPath, request)
	engine.Kill()
	dead := post(engine, chatPath, request)
	if dead.err == nil {
		t.Errorf("a dead engine answered: %+v", dead)
	}
	err := engine.Restart()
	if err != nil {
		t.Fatal(err)
	}
	if engine.Addr() != address || engine.Stats().RetainedStates != 0 {
		t.Errorf("restarted at %v with %+v, want %v and no KV state", engine.Addr(), engine.Stats(), address)
	}
	revived := post(engine, chatPath, request)
	if revived.status != http.StatusOK {
		t.Errorf("after the restart: %+v", revived)
	}
}
