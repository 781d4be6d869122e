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
	var kinds []string
	for _, event := range events {
		kinds = append(kinds, event.Kind.String())
	}
	const want = "attempt began, KV state retained, attempt ended, KV state released, engine died"
	if got := strings.Join(kinds, ", "); got != want {
		t.Errorf("recorded events %q, want %q", got, want)
	}
}

func TestRestartedEngineAnswersAtTheSameAddressWithoutKVState(t *testing.T) {
	c := newTestCluster(t)
	engine := c.start("prefill", control.RolePrefill)
	address := engine.Addr()
	request := chatBody(`,"kv_transfer_params":{"do_remote_decode":true}`)
	post(engine, chatPath, request)
	engine.Kill()
	afterKill := post(engine, chatPath, request)
	if afterKill.err == nil {
		t.Errorf("after Kill: response %+v, want a connection error", afterKill)
	}
	err := engine.Restart()
	if err != nil {
		t.Fatal(err)
	}
	if engine.Addr() != address || engine.Stats().RetainedStates != 0 {
		t.Errorf("after Restart: address %v, stats %+v; want address %v and no KV state", engine.Addr(), engine.Stats(), address)
	}
	afterRestart := post(engine, chatPath, request)
	if afterRestart.status != http.StatusOK {
		t.Errorf("after Restart: response %+v, want status 200", afterRestart)
	}
}
