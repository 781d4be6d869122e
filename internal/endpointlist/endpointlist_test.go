package endpointlist_test

import (
	"fmt"
	"strings"
	"testing"

	"martenlock/internal/config"
	"martenlock/internal/demo"
	"martenlock/internal/endpointlist"
)

var validConfig = fmt.Sprintf(demo.Settings, "127.0.0.1:0", 1, "info")

const validList = `[node r1]
pool = chat
address = 127.0.0.1:9001
kind = reader
zone = a

[node w1]
pool = chat
address = 127.0.0.1:9002
kind = writer
state = draining
start = 2026-12-01T08:00:00Z
`

func parseConfig(t *testing.T, text string) *config.Config {
	t.Helper()
	c, err := config.Parse("f.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestParseReturnsEndpointsOfValidList(t *testing.T) {
	valid, err := endpointlist.Parse("n.ini", []byte(validList), parseConfig(t, validConfig))
	if err != nil || len(valid) != 2 || valid[0].ID == valid[1].ID || valid[1].StartedAt.IsZero() {
		t.Fatalf("got %+v (error %v), want two endpoints with different ids, the second with a start time", valid, err)
	}
}

func TestParseRejectsPrefillEngineInPoolOfEmbeddings(t *testing.T) {
	withEmbeddings := parseConfig(t, strings.Replace(validConfig, "apis = chat", "apis = embeddings, chat", 1))
	if _, err := endpointlist.Parse("n.ini", []byte(validList), withEmbeddings); err == nil || !strings.Contains(err.Error(), `[node r1] kind: invalid kind "reader", want a kind with role mixed: [pool chat]`) {
		t.Errorf("got error %v, want one that names node, kind and pool", err)
	}
}

// TestParseErrorsNameNodeAndKey makes one change at a time to a valid list.
func TestParseErrorsNameNodeAndKey(t *testing.T) {
	cfg := parseConfig(t, validConfig)
	for _, c := range []struct{ old, new, want string }{
		{validList, "", "n.ini: missing section [node NAME]"},
		{"[node w1]", "[node r1]", "n.ini: [node r1]: duplicate section"},
		{"[node w1]", "[node]", "[node]: missing name, want [node NAME]"},
		{"9002", "9001", "[node w1] address: duplicate address 127.0.0.1:9001, node r1 has it too"},
		{"127.0.0.1:9002", "engine.example:1", `[node w1] address: invalid address "engine.example:1"`},
		{"pool = chat", "pool = chatter", `[node r1] pool: unknown pool "chatter", there is no section [pool chatter] in f.ini`},
		{"kind = writer", "kind = scribe", `[node w1] kind: unknown kind "scribe", there is no section [kind scribe] in f.ini`},
		{"kind = writer", "", "[node w1] kind: missing value"},
		{"state = draining", "state = tired", `[node w1] state: unknown state "tired", want one of gone, ready, draining`},
		{"2026-12-01T08:00:00Z", "yesterday", `[node w1] start: invalid time "yesterday"`},
		{"state = draining", "weight = 0", `[node w1] weight: number 0 is out of range`},
		{"zone = a", "zome = a", "[node r1] zome: unknown key"},
	} {
		if _, err := endpointlist.Parse("n.ini", []byte(strings.Replace(validList, c.old, c.new, 1)), cfg); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("with %q: got error %v, want one that contains %q", c.new, err, c.want)
		}
	}
}
