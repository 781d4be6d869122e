package fakeengine

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"martenlock/control"
	"martenlock/internal/invariant"
)

// testCluster is the engines of a test.
type testCluster struct {
	t         *testing.T
	cluster   *Cluster
	recording *invariant.Recording
}

// newTestCluster starts an event loop that ends with the test.
func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	started := time.Now()
	recording := invariant.NewRecording(1000)
	fleet, err := NewCluster(recording, func() time.Duration { return time.Since(started) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		err := fleet.Close()
		if err != nil {
			t.Error(err)
		}
	})
	return &testCluster{t: t, cluster: fleet, recording: recording}
}

// start starts an engine.
func (c *testCluster) start(name string, role control.Role) *Engine {
	c.t.Helper()
	spec := Spec{
		Name:                   name,
		Role:                   role,
		Listen:                 netip.MustParseAddrPort("127.0.0.1:0"),
		PrefillTokensPerSecond: 1e6,
		DecodeSlots:            2,
		MaxWaiting:             2,
		AnswerTokens:           5,
		Dimensions:             3,
	}
	engine, err := c.cluster.Start(spec, false)
	if err != nil {
		c.t.Fatal(err)
	}
	return engine
}

// answer is an engine's answer.
type answer struct {
	status int
	body   string
	err    error // the connection broke
}

// post sends a request to an engine.
func post(engine *Engine, path, body string) answer {
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s", engine.Addr(), path), strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set("X-Request-Id", "request-1")
	request.Header.Set("X-Client-Request-Id", "client-1")
	reply, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer reply.Body.Close()
	var received bytes.Buffer
	_, err = io.Copy(&received, reply.Body)
	return answer{status: reply.StatusCode, body: received.String(), err: err}
}

const chatPath = "/v1/chat/completions"

// chatBody returns a chat request with further fields.
func chatBody(fields string) string {
	return `{"model":"m","messages":[{"role":"user","content":"is the pipe warm"}]` + fields + `}`
}

func TestDecodeEngineFetchesKVStateFromPrefillEngine(t *testing.T) {
	c := newTestCluster(t)
	prefill := c.start("prefill", control.RolePrefill)
	decode := c.start("decode", control.RoleDecode)

	prefilled := post(prefill, chatPath, chatBody(`,"kv_transfer_params":{"do_remote_decode":true}`))
	transfer := gjson.Get(prefilled.body, "kv_transfer_params").Raw
	if prefilled.status != http.StatusOK || transfer == "" {
		t.Fatalf("prefill: %+v", prefilled)
	}
	if retained := prefill.Stats().RetainedStates; retained != 1 {
		t.Errorf("%d KV states retained after the prefill, want 1", retained)
	}
	request := chatBody(`,"kv_transfer_params":` + transfer)
	decoded := post(decode, chatPath, request)
	text := gjson.Get(decoded.body, "choices.0.message.content").Str
	if decoded.status != http.StatusOK || text != "snow on the roof and " {
		t.Errorf("decode: %+v", decoded)
	}
	if decode.Stats().FetchedKVBytes == 0 || prefill.Stats().RetainedStates != 0 {
		t.Errorf("KV state not moved: prefill %+v, decode %+v", prefill.Stats(), decode.Stats())
	}
	again := post(decode, chatPath, request)
	if again.status != http.StatusFailedDependency {
		t.Errorf("second fetch of one KV state: %+v, want status 424", again)
	}
}

func TestEngineRecordsWhatItDoes(t *testing.T) {
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

func TestFaultsShowOnTheWire(t *testing.T) {
	c := newTestCluster(t)
	engine := c.start("both", control.RoleColocated)
	const embeddingsPath = "/v1/embeddings"
	const inputs = `{"model":"m","input":["a","b"]}`
	stream := chatBody(`,"stream":true`)
	for _, test := range []struct {
		name   string
		fault  Fault
		path   string
		body   string
		status int    // 0 where the connection breaks first
		breaks bool   // before the answer's end
		says   string // part of the answer
	}{
		{"none", Fault{}, chatPath, stream, http.StatusOK, false, "data: [DONE]"},
		{"errors", Fault{ErrorRate: 1}, chatPath, stream, http.StatusInternalServerError, false, "made to fail"},
		{"rejects everything", Fault{RejectAll: true}, chatPath, stream, http.StatusServiceUnavailable, false, "overloaded"},
		{"reset before execution", Fault{ResetBefore: true}, chatPath, stream, 0, true, ""},
		{"reset before the first token", Fault{ResetAfter: -1}, chatPath, stream, 0, true, ""},
		{"request that no engine takes", Fault{}, chatPath, chatBody(`,"user":"` + RejectMarker + `"`), http.StatusBadRequest, false, "invalid_input"},
		{"well-formed embeddings", Fault{}, embeddingsPath, inputs, http.StatusOK, false, `"index":1`},
		{"numbers out of range", Fault{MalformedEmbeddings: embeddingInfinite}, embeddingsPath, inputs, http.StatusOK, false, "e999"},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine.SetFault(test.fault)
			got := post(engine, test.path, test.body)
			isBroken := got.err != nil
			if got.status != test.status || isBroken != test.breaks || !strings.Contains(got.body, test.says) {
				t.Errorf("%+v", got)
			}
		})
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
