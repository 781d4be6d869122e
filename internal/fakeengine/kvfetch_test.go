package fakeengine

import (
	"net/http"
	"testing"

	"github.com/tidwall/gjson"

	"martenlock/control"
)

func TestDecodeEngineFetchesKVStateFromPrefillEngine(t *testing.T) {
	c := newTestCluster(t)
	prefill := c.start("prefill", control.RolePrefill)
	decode := c.start("decode", control.RoleDecode)

	prefilled := post(prefill, chatPath, chatBody(`,"kv_transfer_params":{"do_remote_decode":true}`))
	transfer := gjson.Get(prefilled.body, "kv_transfer_params").Raw
	if prefilled.status != http.StatusOK || transfer == "" {
		t.Fatalf("prefill response: %+v, want status 200 with kv_transfer_params", prefilled)
	}
	if retained := prefill.Stats().RetainedStates; retained != 1 {
		t.Errorf("%d KV states retained after the prefill, want 1", retained)
	}
	request := chatBody(`,"kv_transfer_params":` + transfer)
	decoded := post(decode, chatPath, request)
	const wantText = "snow on the roof and "
	text := gjson.Get(decoded.body, "choices.0.message.content").Str
	if decoded.status != http.StatusOK || text != wantText {
		t.Errorf("decode response: %+v, want status 200 and text %q", decoded, wantText)
	}
	if decode.Stats().FetchedKVBytes == 0 || prefill.Stats().RetainedStates != 0 {
		t.Errorf("KV state not transferred: prefill engine %+v, decode engine %+v", prefill.Stats(), decode.Stats())
	}
	again := post(decode, chatPath, request)
	if again.status != http.StatusFailedDependency {
		t.Errorf("second fetch of the same KV state: %+v, want status 424", again)
	}
}
