package config_test

import (
	"fmt"
	"strings"
	"testing"

	"martenlock/internal/config"
	"martenlock/internal/demo"
)

var validConfig = fmt.Sprintf(demo.Settings, "127.0.0.1:0", 1, "info")

// TestParseErrorsNameSectionAndKey makes one change at a time to a valid configuration.
func TestParseErrorsNameSectionAndKey(t *testing.T) {
	if _, err := config.Parse("f.ini", []byte(validConfig)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"[router]", "[rooter]", "f.ini: [rooter]: unknown section, want one of router, limits"},
		{"[router]", "x = 1\n[router]", `f.ini: invalid key "x" before the first section`},
		{"listen = 127.0.0.1:0", "listen = localhost", `f.ini: [router] listen: invalid address "localhost", want IP address and port`},
		{"nodes = nodes.ini", "", "f.ini: [router] nodes: missing value"},
		{"zone = a", "zone = a\nzoen = b", "f.ini: [router] zoen: unknown key"},
		{"zone = a", "zone = a\nzone = b", "f.ini: [router] zone: duplicate key, set 2 times"},
		{"zone = a", "rank = 1", "[router] rank: rank 1 is out of range, want less than routers (1)"},
		{"pin_limit = 1s", "pin_limit = 1", `[rules] pin_limit: invalid duration "1", want one from 100ms to 1m0s`},
		{"pin_limit = 1s", "pin_limit = 5h", `[rules] pin_limit: duration 5h is out of range, want one from 100ms to 1m0s`},
		{"cold_from = 0.3", "cold_from = NaN", `[rules] cold_from: number NaN is out of range`},
		{"role = reader", "role = leader", `[kind reader] role: unknown role "leader", want one of reader, writer, mixed`},
		{"[kind mixed]", "[kind reader]", "f.ini: [kind reader]: duplicate section"},
		{"[kind mixed]", "[kind]", "[kind]: missing name, want [kind NAME]"},
		{"aim = 1s", "aim = 9s", "[class ask] aim: aim 9s is out of range, want less than the deadline (5s)"},
		{"whole_aim = 1s", "whole_aim = 3s", "[class search] whole_aim: whole_aim 3s is out of range, want less than the deadline"},
		{"window = 3s", "", "[class job] window: missing value, must be set if effect is keyed"},
		{"effect = unsafe", "effect = dangerous", `[class note] effect: unknown effect "dangerous", want one of safe, keyed, unsafe`},
		{"class = ask", "class = mask", `[pool chat] class: unknown class "mask", there is no section [class mask]`},
		{"apis = chat, completions", "apis = chat, smalltalk", `[pool chat] apis: unknown API "smalltalk", want one of chat, completions`},
		{"apis = rerank", "apis = rerank, embeddings\nmodels = demo-embed\n#", "[pool rerank] models: duplicate model, pool embeddings also serves embeddings for the same model"},
		{"num_requests_running:in_flight", "num_requests_running:speed", `[pool chat] report: invalid metric "num_requests_running:speed", want METRIC:FIELD`},
		{"[limits]\n", "[limits]\nbody = -1\n", `[limits] body: whole number -1 is out of range`},
		{"[class ask]", "[request]\nforward = Host\n[class ask]", `[request] forward: invalid header field "Host", it applies to a single connection`},
	} {
		if !strings.Contains(validConfig, c.old) {
			t.Fatalf("the valid configuration does not contain %q", c.old)
		}
		_, err := config.Parse("f.ini", []byte(strings.Replace(validConfig, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("with %q: got error %v, want one that contains %q", c.new, err, c.want)
		}
	}
}

func TestParseRequiresClassPoolAndKind(t *testing.T) {
	for _, missing := range []string{"[class ", "[pool ", "[kind "} {
		var kept []string
		for part := range strings.SplitSeq(validConfig, "\n\n") {
			if !strings.HasPrefix(part, missing) {
				kept = append(kept, part)
			}
		}
		if _, err := config.Parse("f.ini", []byte(strings.Join(kept, "\n\n"))); err == nil || !strings.Contains(err.Error(), "missing section "+missing) {
			t.Errorf("without sections %s...]: got error %v, want a missing section", missing, err)
		}
	}
}
