// Package docs_test checks that the paths, links, tests, identifiers and log messages that the pages name exist in the tree.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// root is the root of the repository, relative to this package.
const root = ".."

// pagePatterns match the pages that describe the current code. docs/incidents, docs/results.md and CHANGELOG.md are records, and
// keep the names that were valid when they were written.
var pagePatterns = []string{"README.md", "docs/*.md", "docs/notes/*.md", "docs/operators/*.md"}

const (
	recordPage    = "docs/results.md"
	crossingsPage = "docs/notes/crossings.md"
)

var (
	codeSpan   = regexp.MustCompile("`[^`\n]+`")
	linkTarget = regexp.MustCompile(`\]\(([^)#\s]+)(?:#[^)\s]*)?\)`)
	codePath   = regexp.MustCompile(`(?:^|[\s"'=./(])((?:cmd|internal|admission|docs|deploy)/[A-Za-z0-9_./-]*)`)
	testName   = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9_]*\b`)
	// identifier matches names that occur only in code: in mixed case, or qualified by a package or type.
	identifier = regexp.MustCompile(`^(?:[A-Za-z]+\.)?[A-Za-z]*[a-z][A-Z][A-Za-z]*$|^[A-Z][A-Za-z]+\.[A-Za-z]+$`)
)

// page is a document and its path relative to the root.
type page struct{ path, text string }

// readPages reads all pages that describe the current code.
func readPages(t *testing.T) []page {
	t.Helper()
	var pages []page
	for _, pattern := range pagePatterns {
		names, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil || len(names) == 0 {
			t.Fatalf("%s: got %d pages, error %v, want at least one", pattern, len(names), err)
		}
		for _, name := range names {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			path, err := filepath.Rel(root, name)
			if err != nil {
				t.Fatal(err)
			}
			if path = filepath.ToSlash(path); path != recordPage {
				pages = append(pages, page{path, string(text)})
			}
		}
	}
	return pages
}

// codeSpans returns the texts in backquotes on the page.
func (p page) codeSpans() []string {
	spans := codeSpan.FindAllString(p.text, -1)
	for i := range spans {
		spans[i] = strings.Trim(spans[i], "`")
	}
	return spans
}

// exists reports whether a path relative to the root exists.
func exists(path string) bool {
	_, err := os.Stat(filepath.Join(root, filepath.FromSlash(path)))
	return err == nil
}

// Every path in backquotes exists.
func TestPathsExist(t *testing.T) {
	found := 0
	for _, page := range readPages(t) {
		for _, span := range page.codeSpans() {
			for _, match := range codePath.FindAllStringSubmatch(span, -1) {
				found++
				if path := strings.TrimRight(match[1], "./"); !exists(path) {
					t.Errorf("%s names `%s`, but %s does not exist", page.path, span, path)
				}
			}
		}
	}
	if found == 0 {
		t.Error("no page names a path")
	}
}

// The target of every link to a file exists.
func TestLinkTargetsExist(t *testing.T) {
	for _, page := range readPages(t) {
		for _, match := range linkTarget.FindAllStringSubmatch(page.text, -1) {
			target := match[1]
			if strings.Contains(target, "://") {
				continue
			}
			if path := filepath.ToSlash(filepath.Join(filepath.Dir(page.path), target)); !exists(path) {
				t.Errorf("%s links to %s, which does not exist", page.path, target)
			}
		}
	}
}

// Every test, fuzz test and benchmark that a page names is declared.
func TestNamedTestsExist(t *testing.T) {
	declared := declaredNames(t)
	for _, page := range readPages(t) {
		for _, name := range testName.FindAllString(page.text, -1) {
			if !declared[name] {
				t.Errorf("%s names %s, which is not declared", page.path, name)
			}
		}
	}
}

// Every identifier in backquotes is declared.
func TestIdentifiersExist(t *testing.T) {
	declared := declaredNames(t)
	for _, page := range readPages(t) {
		for _, span := range page.codeSpans() {
			name := strings.TrimSuffix(span, "()")
			if !identifier.MatchString(name) || strings.HasSuffix(name, ".md") || strings.HasSuffix(name, ".go") {
				continue
			}
			if !declared[name] && !declared[name[strings.LastIndex(name, ".")+1:]] {
				t.Errorf("%s names `%s`, which is not declared", page.path, span)
			}
		}
	}
}

// The second column of the tables in notes/crossings.md names the functions that handle the race of two events. Each function is
// declared; methods are qualified by their type.
func TestCrossingFunctionsExist(t *testing.T) {
	declared, found := declaredNames(t), 0
	for _, page := range readPages(t) {
		if page.path != crossingsPage {
			continue
		}
		for line := range strings.Lines(page.text) {
			columns := strings.Split(line, "|")
			if len(columns) < 3 {
				continue
			}
			for _, span := range codeSpan.FindAllString(columns[2], -1) {
				found++
				if name := strings.Trim(span, "`"); !strings.Contains(name, "/") && !declared[name] {
					t.Errorf("%s names `%s`, which is not declared", page.path, name)
				}
			}
		}
	}
	if found == 0 {
		t.Errorf("%s names no functions", crossingsPage)
	}
}

// declaredNames returns the names of all functions, methods, types, fields, constants and package variables of the project.
// Methods are also included in the form TYPE.NAME.
func declaredNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	for _, folder := range []string{"admission", "cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			addDeclaredNames(names, file)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return names
}

// addDeclaredNames adds the names that a file declares outside of function bodies.
func addDeclaredNames(names map[string]bool, file *ast.File) {
	add := func(identifiers ...*ast.Ident) {
		for _, identifier := range identifiers {
			names[identifier.Name] = true
		}
	}
	for _, declaration := range file.Decls {
		if function, ok := declaration.(*ast.FuncDecl); ok {
			add(function.Name)
			if receiver := receiverType(function); receiver != "" {
				names[receiver+"."+function.Name.Name] = true
			}
			continue
		}
		ast.Inspect(declaration, func(node ast.Node) bool {
			switch node := node.(type) {
			case *ast.TypeSpec:
				add(node.Name)
			case *ast.ValueSpec:
				add(node.Names...)
			case *ast.Field:
				add(node.Names...)
			}
			return true
		})
	}
}

// receiverType returns the name of the receiver type of a method, "" for a function.
func receiverType(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	expression := function.Recv.List[0].Type
	for {
		switch inner := expression.(type) {
		case *ast.StarExpr:
			expression = inner.X
		case *ast.IndexExpr:
			expression = inner.X
		case *ast.Ident:
			return inner.Name
		default:
			return ""
		}
	}
}
