package proptest

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// TestPropertyTestsImportProptest: the tests of each package that use rapid also import this package.
// Without it, rapid would choose a random seed for each run.
func TestPropertyTestsImportProptest(t *testing.T) {
	const (
		rapidPath    = "pgregory.net/rapid"
		proptestPath = "martenlock/internal/proptest"
	)
	importers := testImporters(t, "../..", rapidPath, proptestPath)

	if len(importers[rapidPath]) == 0 {
		t.Error("found no test files that import rapid")
	}
	for dir := range importers[rapidPath] {
		if !importers[proptestPath][dir] {
			t.Errorf("%s: tests use rapid and don't import internal/proptest", dir)
		}
	}
}

// testImporters returns, for each import path, the directories under root whose test files import it.
func testImporters(t *testing.T, root string, paths ...string) map[string]map[string]bool {
	t.Helper()
	importers := map[string]map[string]bool{}
	for _, path := range paths {
		importers[path] = map[string]bool{}
	}
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && entry.Name() == "node_modules" {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(name, "_test.go") {
			return nil
		}
		imports, err := importsOf(name)
		for _, imported := range imports {
			if dirs := importers[imported]; dirs != nil {
				dirs[filepath.Dir(name)] = true
			}
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return importers
}

// importsOf returns the import paths in a Go file.
func importsOf(name string) ([]string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
	if err != nil {
		return nil, err
	}
	var imports []string
	for _, spec := range file.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return nil, err
		}
		imports = append(imports, path)
	}
	return imports, nil
}

func TestEnvironmentVariablesHaveNamesThatRapidDocuments(t *testing.T) {
	if name := environmentVariable("rapid.nofailfile"); name != "RAPID_NOFAILFILE" {
		t.Errorf("rapid.nofailfile is set by %s, want RAPID_NOFAILFILE", name)
	}
}
