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

	"martenlock/control"
	"martenlock/internal/invariant"
)

// testCluster is a cluster of engines and the recording of their events.
type testCluster struct {
	t         *testing.T
	cluster   *Cluster
	recording *invariant.Recording
}

// newTestCluster starts a cluster without engines and closes it when the test ends.
func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	started := time.Now()
	recording := invariant.NewRecording(1000)
	cluster, err := NewCluster(recording, func() time.Duration { return time.Since(started) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		err := cluster.Close()
		if err != nil {
			t.Error(err)
		}
	})
	return &testCluster{t: t, cluster: cluster, recording: recording}
}

// start starts an engine that computes without noticeable delay and responds with five tokens.
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

// reply is the response of an engine as a client receives it.
type reply struct {
	status int
	body   string
	err    error // not nil if the connection ended before the end of the response
}

// post sends a request to an engine and reads the response to its end.
func post(engine *Engine, path, body string) reply {
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s", engine.Addr(), path), strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set("X-Request-Id", "request-1")
	request.Header.Set("X-Client-Request-Id", "client-1")
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	var received bytes.Buffer
	_, err = io.Copy(&received, response.Body)
	return reply{status: response.StatusCode, body: received.String(), err: err}
}

const chatPath = "/v1/chat/completions"

// chatBody returns the body of a chat request. fields are further JSON fields, starting with a comma.
func chatBody(fields string) string {
	return `{"model":"m","messages":[{"role":"user","content":"is the pipe warm"}]` + fields + `}`
}
