package nodes_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"martenlock/internal/config"
	"martenlock/internal/demo"
	"martenlock/internal/nodes"
)

var settings = fmt.Sprintf(demo.Settings, "127.0.0.1:0", 1, "info")

// TestSettingsNameTheFault changes one line of good settings at a time.
func TestSettingsNameTheFault(t *testing.T) {
	if _, err := config.Parse("f.ini", []byte(settings)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"[router]", "[rooter]", "f.ini: [rooter]: unknown section"},
		{"[router]", "x = 1\n[router]", `key "x" stands before the first section`},
		{"listen = 127.0.0.1:0", "listen = localhost", `f.ini: [router] listen: "localhost" is no address`},
		{"nodes = nodes.ini", "", "f.ini: [router] nodes: is missing"},
		{"zone = a", "zone = a\nzoen = b", "f.ini: [router] zoen: unknown key"},
		{"zone = a", "zone = a\nzone = b", "f.ini: [router] zone: stands 2 times"},
		{"zone = a", "rank = 1", "[router] rank: 1 is not below routers, 1"},
		{"pin_limit = 1s", "pin_limit = 1", `[rules] pin_limit: "1" is no duration from 100ms to 1m0s`},
		{"pin_limit = 1s", "pin_limit = 5h", `[rules] pin_limit: "5h" is no duration`},
		{"cold_from = 0.3", "cold_from = NaN", `[rules] cold_from: "NaN" is no number`},
		{"role = reader", "role = leader", `[kind reader] role: "leader" is none of reader, writer, mixed`},
		{"[kind mixed]", "[kind reader]", "[kind reader] stands twice"},
		{"[kind mixed]", "[kind]", "[kind]: has no name"},
		{"aim = 1s", "aim = 9s", "[class ask] aim: 9s is not below the deadline, 5s"},
		{"whole_aim = 1s", "whole_aim = 3s", "[class search] whole_aim: 3s is not below the deadline"},
		{"window = 3s", "", "[class job] window: must be set where effect is keyed"},
		{"effect = unsafe", "effect = dangerous", `[class note] effect: "dangerous" is none of safe, keyed, unsafe`},
		{"class = ask", "class = mask", "[pool chat] class: there is no [class mask]"},
		{"apis = chat, completions", "apis = chat, smalltalk", `[pool chat] apis: "smalltalk" is none of chat, completions`},
		{"apis = rerank", "apis = rerank, embeddings\nmodels = demo-embed\n#", "[pool rerank] models: pool embeddings serves embeddings for the same model"},
		{"num_requests_running:in_flight", "num_requests_running:speed", `[pool chat] report: "num_requests_running:speed" is not METRIC:FIELD`},
		{"[limits]\n", "[limits]\nbody = -1\n", `[limits] body: "-1" is no whole number`},
		{"[class ask]", "[request]\nforward = Host\n[class ask]", `[request] forward: "Host" belongs to one connection`},
	} {
		if !strings.Contains(settings, c.old) {
			t.Fatalf("no %q", c.old)
		}
		_, err := config.Parse("f.ini", []byte(strings.Replace(settings, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v; want %s", c.new, err, c.want)
		}
	}
	for _, missing := range []string{"[class ", "[pool ", "[kind "} {
		var kept []string
		for part := range strings.SplitSeq(settings, "\n\n") {
			if !strings.HasPrefix(part, missing) {
				kept = append(kept, part)
			}
		}
		if _, err := config.Parse("f.ini", []byte(strings.Join(kept, "\n\n"))); err == nil || !strings.Contains(err.Error(), "no section "+missing) {
			t.Errorf("without %s]: %v", missing, err)
		}
	}
}

const list = `[node r1]
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

func TestListsNameTheFault(t *testing.T) {
	cfg, err := config.Parse("f.ini", []byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	good, err := nodes.Parse("n.ini", []byte(list), cfg)
	if err != nil || len(good) != 2 || good[0].ID == good[1].ID || good[1].Start.IsZero() {
		t.Fatal(good, err)
	}
	both, err := config.Parse("f.ini", []byte(strings.Replace(settings, "apis = chat", "apis = embeddings, chat", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := nodes.Parse("n.ini", []byte(list), both); err == nil || !strings.Contains(err.Error(), "[node r1] kind: reader is no kind of role mixed") {
		t.Error(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{list, "", "n.ini: no section [node NAME]"},
		{"[node w1]", "[node r1]", "[node r1] stands twice"},
		{"[node w1]", "[node]", "[node]: has no name"},
		{"9002", "9001", "[node w1] address: 127.0.0.1:9001 is node r1 already"},
		{"127.0.0.1:9002", "engine.example:1", "[node w1] address"},
		{"pool = chat", "pool = chatter", "[node r1] pool: there is no [pool chatter] in f.ini"},
		{"kind = writer", "kind = scribe", "[node w1] kind: there is no [kind scribe] in f.ini"},
		{"kind = writer", "", "[node w1] kind: is missing"},
		{"state = draining", "state = tired", `[node w1] state: "tired" is none of gone, ready, draining`},
		{"2026-12-01T08:00:00Z", "yesterday", `[node w1] start: "yesterday" is no time`},
		{"state = draining", "weight = 0", `[node w1] weight: "0" is no number`},
		{"zone = a", "zome = a", "[node r1] zome: unknown key"},
	} {
		if _, err := nodes.Parse("n.ini", []byte(strings.Replace(list, c.old, c.new, 1)), cfg); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v; want %s", c.new, err, c.want)
		}
	}
}

// TestWatch: a file that is written in pieces is told of once it is closed, a renamed one
// at once, other files never.
func TestWatch(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "nodes.ini")
	told := make(chan string, 16)
	w, err := nodes.Watch(path, func() {
		text, _ := os.ReadFile(path)
		told <- string(text)
	})
	if err != nil {
		t.Fatal(err)
	}
	f, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, piece := range []string{"half", " and half"} {
		if _, err := f.WriteString(piece); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond) // time to tell too early; right code passes without
	}
	if err := os.WriteFile(filepath.Join(dir, "other"), nil, 0o644); err != nil {
		t.Fatal(err)
	}
	f.Close()
	if got := <-told; got != "half and half" {
		t.Errorf("told with %q there", got)
	}
	if err := os.WriteFile(path+".new", []byte("new"), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
	if got := <-told; got != "new" {
		t.Errorf("told with %q there", got)
	}
	if err := w.Close(); err != nil {
		t.Error(err)
	}
	if len(told) > 0 {
		t.Error("told of another file, or twice")
	}
}
