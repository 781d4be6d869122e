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
	goldenWindow = time.Second // of simulated time, a line each
	goldenFull   = "short"     // the script that is written in full
)

var updateGolden = flag.Bool("update", false, "write the golden file of decisions")

// recorder writes the decisions of one script: each window's actions by kind, and a running hash of
// every action so far.
type recorder struct {
	t      *testing.T
	lines  []string
	hash   hash.Hash
	began  instant
	window int
	counts tally
	number uint32
	full   bool
}

func (rec *recorder) observe(now instant, router int, actions []control.Action) {
	for window := int(now.Sub(rec.began) / goldenWindow); rec.window < window; {
		rec.closeWindow()
	}
	rec.number++
	reply := simwire.Reply{Number: rec.number}
	for _, a := range actions {
		reply.Records = append(reply.Records, simwire.Action{Router: uint16(router), Body: simwire.ModuleAction{Action: a}})
		rec.counts.add(a)
		if rec.full {
			rec.lines = append(rec.lines, fmt.Sprintf("  %v %s", now.Sub(rec.began), describe(a)))
		}
	}
	rec.encode(now, reply, actions)
}

// encode hashes the time, the reply on the wire, and what the wire does not carry.
func (rec *recorder) encode(now instant, reply simwire.Reply, actions []control.Action) {
	frame := binary.LittleEndian.AppendUint64(nil, uint64(now))
	frame, err := simwire.AppendReply(frame, reply)
	if err != nil {
		rec.t.Fatalf("encode a reply: %v", err)
	}
	for _, a := range actions {
		if send, ok := a.(control.Forward); ok {
			frame = binary.LittleEndian.AppendUint64(frame, uint64(send.SendWithin))
		}
	}
	rec.hash.Write(frame)
}

// closeWindow writes the line of a window.
func (rec *recorder) closeWindow() {
	line := fmt.Sprintf("%d %v %x", rec.window, rec.counts, rec.hash.Sum(nil)[:6])
	rec.lines = append(rec.lines, line)
	rec.window++
	rec.counts = tally{}
}

// playGolden plays a script and returns its lines.
func playGolden(t *testing.T, sc *script) []string {
	rec := &recorder{t: t, hash: sha256.New(), full: sc.name == goldenFull}
	s := newService(sc, rec.observe)
	rec.began = s.began
	s.run()
	rec.closeWindow()
	return rec.lines
}

// readGolden returns the golden file's lines by script.
func readGolden(t *testing.T) map[string][]string {
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

// TestGoldenDecisions compares every action of the seeded scripts with the golden file. A change of
// decisions that is meant is recorded by `go test ./control -run Golden -update`.
func TestGoldenDecisions(t *testing.T) {
	if *updateGolden {
		writeGolden(t)
		return
	}
	golden := readGolden(t)
	scripts := goldenScripts()
	if len(golden) != len(scripts) {
		t.Errorf("%s has %d scripts, the test %d", goldenFile, len(golden), len(scripts))
	}
	for _, sc := range scripts {
		t.Run(sc.name, func(t *testing.T) { compareLines(t, golden[sc.name], playGolden(t, sc)) })
	}
}

// compareLines reports the first difference.
func compareLines(t *testing.T, want, got []string) {
	for i := range max(len(want), len(got)) {
		if i >= len(want) || i >= len(got) {
			t.Fatalf("%d lines, want %d", len(got), len(want))
		}
		if got[i] != want[i] {
			t.Fatalf("first difference in line %d:\n got %s\nwant %s", i+1, got[i], want[i])
		}
	}
}

// writeGolden writes the golden file anew.
func writeGolden(t *testing.T) {
	var text strings.Builder
	for _, sc := range goldenScripts() {
		fmt.Fprintf(&text, "# %s\n%s\n", sc.name, strings.Join(playGolden(t, sc), "\n"))
	}
	if err := os.MkdirAll("testdata", 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(goldenFile, []byte(text.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}
