package control_test

import (
	"crypto/sha256"
	"encoding/binary"
	"flag"
	"fmt"
	"hash"
	"os"
	"strings"
	"testing"
	"time"

	"martenlock/control"
	"martenlock/internal/simwire"
)

const (
	goldenFile   = "testdata/decisions.golden"
	goldenWindow = time.Second // simulated time per line of the golden file
	goldenFull   = "short"     // script for which the golden file has every action
)

var updateGolden = flag.Bool("update", false, "write the golden file of decisions")

// recorder writes the decisions of one script. For each window it writes the number of actions by kind and a
// running hash of every action so far.
type recorder struct {
	t         *testing.T
	lines     []string
	hash      hash.Hash
	startedAt control.Time
	window    int
	counts    tally
	number    uint32 // of the latest reply
	full      bool   // also write every action
}

// observe records the actions that a router returned at a time.
func (r *recorder) observe(now control.Time, router int, actions []control.Action) {
	for window := int(now.Sub(r.startedAt) / goldenWindow); r.window < window; {
		r.closeWindow()
	}
	r.number++
	reply := simwire.Reply{Number: r.number}
	for _, action := range actions {
		reply.Records = append(reply.Records, simwire.Action{Router: uint16(router), Body: simwire.ModuleAction{Action: action}})
		r.counts.add(action)
		if r.full {
			r.lines = append(r.lines, fmt.Sprintf("  %v %s", now.Sub(r.startedAt), describe(action)))
		}
	}
	r.encode(now, reply, actions)
}

// encode adds to the hash the time, the reply in its wire encoding, and the SendWithin values, which the wire
// omits.
func (r *recorder) encode(now control.Time, reply simwire.Reply, actions []control.Action) {
	frame := binary.LittleEndian.AppendUint64(nil, uint64(now))
	frame, err := simwire.AppendReply(frame, reply)
	if err != nil {
		r.t.Fatalf("encode reply: %v", err)
	}
	for _, action := range actions {
		if forward, ok := action.(control.Forward); ok {
			frame = binary.LittleEndian.AppendUint64(frame, uint64(forward.SendWithin))
		}
	}
	r.hash.Write(frame)
}

// closeWindow writes the line of the current window and begins the next one.
func (r *recorder) closeWindow() {
	r.lines = append(r.lines, fmt.Sprintf("%d %v %x", r.window, &r.counts, r.hash.Sum(nil)[:6]))
	r.window++
	r.counts = tally{}
}

// playGolden simulates a script and returns its lines for the golden file.
func playGolden(t *testing.T, played *script) []string {
	t.Helper()
	r := &recorder{t: t, hash: sha256.New(), full: played.name == goldenFull}
	s := newSimulation(played, r.observe)
	r.startedAt = s.startedAt
	s.run()
	r.closeWindow()
	return r.lines
}

// readGolden returns the golden file's lines by script.
func readGolden(t *testing.T) map[string][]string {
	t.Helper()
	data, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	sections := map[string][]string{}
	name := ""
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSuffix(line, "\n")
		if title, ok := strings.CutPrefix(line, "# "); ok {
			name = title
			continue
		}
		sections[name] = append(sections[name], line)
	}
	return sections
}

// TestGoldenDecisions compares every action of the seeded scripts with the golden file. After an intended
// change of decisions, update the file with `go test ./control -run Golden -update`.
func TestGoldenDecisions(t *testing.T) {
	if *updateGolden {
		writeGolden(t)
		return
	}
	golden := readGolden(t)
	scripts := goldenScripts()
	if len(golden) != len(scripts) {
		t.Errorf("%s has %d scripts, want %d", goldenFile, len(golden), len(scripts))
	}
	for _, played := range scripts {
		t.Run(played.name, func(t *testing.T) { compareLines(t, golden[played.name], playGolden(t, played)) })
	}
}

// compareLines fails the test at the first difference.
func compareLines(t *testing.T, want, got []string) {
	t.Helper()
	for i := range max(len(want), len(got)) {
		if i >= len(want) || i >= len(got) {
			t.Fatalf("%d lines, want %d", len(got), len(want))
		}
		if got[i] != want[i] {
			t.Fatalf("first difference in line %d:\n got %s\nwant %s", i+1, got[i], want[i])
		}
	}
}

// writeGolden replaces the golden file.
func writeGolden(t *testing.T) {
	t.Helper()
	var text strings.Builder
	for _, played := range goldenScripts() {
		fmt.Fprintf(&text, "# %s\n%s\n", played.name, strings.Join(playGolden(t, played), "\n"))
	}
	if err := os.MkdirAll("testdata", 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(goldenFile, []byte(text.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}
