package endpointlist_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"martenlock/internal/endpointlist"
)

// TestWatchReportsOnlyWholeFiles: a file that is written in pieces is reported once, after it is closed. Its
// replacement by a rename is reported. Other files in the directory are not reported.
func TestWatchReportsOnlyWholeFiles(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "nodes.ini")
	reported := make(chan string, 16)
	watcher, err := endpointlist.Watch(path, func() {
		text, _ := os.ReadFile(path)
		reported <- string(text)
	})
	if err != nil {
		t.Fatal(err)
	}
	file, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, piece := range []string{"half", " and half"} {
		if _, err := file.WriteString(piece); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond) // time for an early report, which would be an error
	}
	if err := os.WriteFile(filepath.Join(dir, "other"), nil, 0o644); err != nil {
		t.Fatal(err)
	}
	file.Close()
	if got := <-reported; got != "half and half" {
		t.Errorf("reported when the file contained %q", got)
	}
	if err := os.WriteFile(path+".new", []byte("new"), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
	if got := <-reported; got != "new" {
		t.Errorf("reported when the file contained %q", got)
	}
	if err := watcher.Close(); err != nil {
		t.Error(err)
	}
	if len(reported) > 0 {
		t.Error("another file was reported, or a change was reported twice")
	}
}
