// Package docs_test checks that the pages refer to files that exist.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// root is the repository's root, seen from this folder.
const root = ".."

var (
	// markdownLink matches the target of [text](target).
	markdownLink = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	// codeSpan matches `text` within a line.
	codeSpan = regexp.MustCompile("`([^`\n]+)`")
	// filePath matches a path below one of the repository's folders.
	filePath = regexp.MustCompile(`^(?:\.\./)?(?:\.ci|cmd|control|deploy|docs|internal|tools)(?:/[\w.-]+)*/?$`)
	// goFile matches the name of a Go file without its folder.
	goFile = regexp.MustCompile(`^[\w]+\.go$`)
)

// readPages returns the text of each page by its path from the root. Records of incidents are left out: they describe
// the tree of their commit.
func readPages(t *testing.T) map[string]string {
	t.Helper()
	pages := map[string]string{}
	for _, pattern := range []string{"*.md", "docs/*.md", "cmd/*/README.md", "tools/README.md"} {
		paths, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range paths {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			pages[path] = string(text)
		}
	}
	if len(pages) < 10 {
		t.Fatalf("found %d pages, want all of them", len(pages))
	}
	return pages
}

// goFileNames returns the names of all Go files of the repository, without folders.
func goFileNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	for _, folder := range []string{"cmd", "control", "internal", "docs"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err == nil && strings.HasSuffix(path, ".go") {
				names[entry.Name()] = true
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return names
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

func TestLinksOfPagesLeadToFiles(t *testing.T) {
	for page, text := range readPages(t) {
		for _, match := range markdownLink.FindAllStringSubmatch(text, -1) {
			target, _, _ := strings.Cut(match[1], "#")
			if target == "" || strings.Contains(target, "://") {
				continue
			}
			if !exists(filepath.Join(filepath.Dir(page), target)) {
				t.Errorf("%s: link to %s, which does not exist", page, match[1])
			}
		}
	}
}

func TestFileNamesInPagesExist(t *testing.T) {
	goFiles := goFileNames(t)
	for page, text := range readPages(t) {
		for _, match := range codeSpan.FindAllStringSubmatch(text, -1) {
			name := match[1]
			switch {
			case filePath.MatchString(name):
				if !exists(filepath.Join(root, strings.TrimPrefix(name, "../"))) {
					t.Errorf("%s: `%s` does not exist", page, name)
				}
			case goFile.MatchString(name):
				if !goFiles[name] {
					t.Errorf("%s: no Go file is named `%s`", page, name)
				}
			}
		}
	}
}
