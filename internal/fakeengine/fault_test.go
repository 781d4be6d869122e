package fakeengine

import (
	"net/http"
	"strings"
	"testing"

	"github.com/tidwall/gjson"

	"martenlock/control"
)

const embeddingsPath = "/v1/embeddings"

func TestFaultsAreVisibleToClients(t *testing.T) {
	c := newTestCluster(t)
	engine := c.start("both", control.RoleColocated)
	const inputs = `{"model":"m","input":["a","b"]}`
	const inBase64 = `{"model":"m","input":["a","b"],"encoding_format":"base64"}`
	stream := chatBody(`,"stream":true`)
	for _, test := range []struct {
		name     string
		fault    Fault
		path     string
		body     string
		status   int    // 0 if the connection ends before the response
		isBroken bool   // the connection ends before the end of the response
		contains string // a substring of the response
	}{
		{"no fault", Fault{}, chatPath, stream, http.StatusOK, false, "data: [DONE]"},
		{"all requests fail", Fault{ErrorRate: 1}, chatPath, stream, http.StatusInternalServerError, false, "made to fail"},
		{"rejects everything", Fault{RejectAll: true}, chatPath, stream, http.StatusServiceUnavailable, false, "overloaded"},
		{"reset before execution", Fault{ResetBefore: true}, chatPath, stream, 0, true, ""},
		{"reset before the first token", Fault{ResetAfter: -1}, chatPath, stream, 0, true, ""},
		{"request with the reject marker", Fault{}, chatPath, chatBody(`,"user":"` + RejectMarker + `"`), http.StatusBadRequest, false, "invalid_input"},
		{"well-formed embeddings", Fault{}, embeddingsPath, inputs, http.StatusOK, false, `"index":1`},
		{"numbers out of range", Fault{EmbeddingDefect: EmbeddingInfinite}, embeddingsPath, inputs, http.StatusOK, false, "e999"},
		{"embedding in invalid base64", Fault{EmbeddingDefect: EmbeddingInvalidBase64}, embeddingsPath, inBase64, http.StatusOK, false, "a*b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine.SetFault(test.fault)
			got := post(engine, test.path, test.body)
			isBroken := got.err != nil
			if got.status != test.status || isBroken != test.isBroken || !strings.Contains(got.body, test.contains) {
				t.Errorf("response %+v; want status %d, broken connection %v, body with %q", got, test.status, test.isBroken, test.contains)
			}
		})
	}
}

func TestEmbeddingDefectChangesNumberOrLengthOfEmbeddings(t *testing.T) {
	c := newTestCluster(t)
	engine := c.start("both", control.RoleColocated)
	for _, test := range []struct {
		defect     EmbeddingDefect
		embeddings int
		dimensions int // of the last embedding
	}{
		{EmbeddingIntact, 2, 3},
		{EmbeddingMissing, 1, 3},
		{EmbeddingTooLong, 2, 4},
	} {
		engine.SetFault(Fault{EmbeddingDefect: test.defect})
		got := post(engine, embeddingsPath, `{"model":"m","input":["a","b"]}`)
		embeddings := gjson.Get(got.body, "data.#.embedding").Array()
		if len(embeddings) != test.embeddings || len(embeddings[len(embeddings)-1].Array()) != test.dimensions {
			t.Errorf("defect %v: response %+v; want %d embeddings, the last with %d dimensions", test.defect, got, test.embeddings, test.dimensions)
		}
	}
}
