package commander

import (
	"fmt"
	"go/doc"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const (
	readme        = "../README.md"
	packagesBegin = "<!-- packages -->\n"
	packagesEnd   = "<!-- /packages -->\n"
)

func TestReadmeListsEveryPackage(t *testing.T) {
	page := readFile(t, readme)
	before, rest, found := strings.Cut(page, packagesBegin)
	_, after, closed := strings.Cut(rest, packagesEnd)
	if !found || !closed {
		t.Fatal("the begin or end marker of the package table is missing")
	}
	checkPage(t, readme, before+packagesBegin+packageTable(t)+packagesEnd+after)
}

// packageTable returns a table of all packages with the first sentence of their doc.go.
func packageTable(t *testing.T) string {
	t.Helper()
	var b strings.Builder
	b.WriteString("| package | job |\n|---|---|\n")
	for _, pattern := range []string{"../*/doc.go", "../*/*/doc.go"} {
		files, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			name := strings.TrimPrefix(filepath.ToSlash(filepath.Dir(file)), "../")
			fmt.Fprintf(&b, "| `%s` | %s |\n", name, synopsis(t, file))
		}
	}
	return b.String()
}

func synopsis(t *testing.T, file string) string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	text := new(doc.Package).Synopsis(f.Doc.Text())
	for _, prefix := range []string{"Package " + f.Name.Name + " is ", "Package " + f.Name.Name + " "} {
		text = strings.TrimPrefix(text, prefix)
	}
	return strings.TrimSuffix(text, ".")
}

var link = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)

// TestLinksLeadToFiles checks the relative links in the README and in docs.
func TestLinksLeadToFiles(t *testing.T) {
	pages, err := filepath.Glob("../docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range append(pages, readme) {
		for _, target := range link.FindAllStringSubmatch(readFile(t, page), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), target[1])); err != nil {
				t.Errorf("%s links to %s, which is missing", page, target[1])
			}
		}
	}
}

var pageName = regexp.MustCompile(`docs/[\w-]+\.md`)

// TestNamedPagesExist checks that the pages of docs that pages and source files mention exist.
func TestNamedPagesExist(t *testing.T) {
	for _, pattern := range []string{readme, "../docs/*.md", "../*/*.go"} {
		files, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			for _, name := range pageName.FindAllString(readFile(t, file), -1) {
				if _, err := os.Stat(filepath.Join("..", name)); err != nil {
					t.Errorf("%s names %s, which is missing", file, name)
				}
			}
		}
	}
}
