package serve_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"martenlock/internal/demo"
	"martenlock/internal/inifile"
	"martenlock/internal/serve"
)

var validConfig = fmt.Sprintf(demo.Settings, "127.0.0.1:0", 1, "info")

// validList has one engine, at an address where nothing listens.
const validList = "[node m1]\npool = chat\naddress = 127.0.0.1:1\nkind = mixed\n"

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	err := os.WriteFile(path, []byte(text), 0o644)
	if err != nil {
		t.Fatal(err)
	}
}

// expectErrorAt fails the test unless err names the key of section [router] in the file.
func expectErrorAt(t *testing.T, err error, file, key string) {
	t.Helper()
	var fileErr *inifile.Error
	if !errors.As(err, &fileErr) {
		t.Fatalf("got error %v, want an *inifile.Error", err)
	}
	if fileErr.File != file || fileErr.Section != "[router]" || fileErr.Key != key {
		t.Errorf("error %v names file %q, section %q and key %q; want %q, [router] and %q", err, fileErr.File, fileErr.Section, fileErr.Key, file, key)
	}
}

func TestReloadRejectsChangedEndpointListPath(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "router.ini")
	writeFile(t, path, validConfig)
	writeFile(t, filepath.Join(dir, "nodes.ini"), validList)
	writeFile(t, filepath.Join(dir, "others.ini"), validList)
	var log bytes.Buffer // written by another goroutine until Stop returns
	s, err := serve.Start(path, &log)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, path, strings.Replace(validConfig, "nodes = nodes.ini", "nodes = others.ini", 1))
	reloadErr := s.Reload()
	expectErrorAt(t, reloadErr, path, "nodes")
	want := fmt.Sprintf("%s: [router] nodes: a change from %s to %s needs a restart", path, filepath.Join(dir, "nodes.ini"), filepath.Join(dir, "others.ini"))
	if reloadErr.Error() != want {
		t.Errorf("got error %v, want %s", reloadErr, want)
	}
	writeFile(t, path, validConfig)
	err = s.Reload()
	if err != nil {
		t.Errorf("unchanged configuration rejected: %v", err)
	}
	err = s.Stop()
	if err != nil {
		t.Error(err)
	}
	for _, message := range []string{"listening", "configuration rejected, the previous one stays in force", "configuration applied", "stopped"} {
		if !strings.Contains(log.String(), `"message":"`+message+`"`) {
			t.Errorf("no log line %q in %s", message, log.String())
		}
	}
}

func TestStartReportsLogFileThatCannotBeOpened(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "router.ini")
	writeFile(t, path, strings.Replace(validConfig, "[router]", "[router]\nlog = absent/router.log", 1))
	writeFile(t, filepath.Join(dir, "nodes.ini"), validList)
	_, err := serve.Start(path, &bytes.Buffer{})
	expectErrorAt(t, err, path, "log")
	if !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got error %v, want one that wraps os.ErrNotExist", err)
	}
}
