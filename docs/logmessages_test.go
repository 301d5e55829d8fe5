// Package docs_test checks the pages against the code.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// sources parses all code of the program but its tests and the test harness.
func sources(t *testing.T) []*ast.File {
	t.Helper()
	var files []*ast.File
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && (entry.Name() == "harness" || entry.Name() == "tools" || entry.Name() == "journal"):
			return filepath.SkipDir
		case entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		files = append(files, file)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// literals are the string literals in a tree.
func literals(node ast.Node) []string {
	var texts []string
	ast.Inspect(node, func(n ast.Node) bool {
		if literal, ok := n.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			if text, err := strconv.Unquote(literal.Value); err == nil {
				texts = append(texts, text)
			}
		}
		return true
	})
	return texts
}

// logMessages are the messages that the program may log above level debug, in the order of the files.
func logMessages(files []*ast.File) []string {
	var messages []string
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			method, ok := call.Fun.(*ast.SelectorExpr)
			if !ok || isDebug(method) {
				return true
			}
			switch {
			case method.Sel.Name == "Msg" && len(call.Args) == 1, method.Sel.Name == "warn" && len(call.Args) == 2:
				messages = append(messages, literals(call.Args[len(call.Args)-1])...)
			}
			return true
		})
	}
	return messages
}

// isDebug reports whether a chain of calls begins with Debug().
func isDebug(method *ast.SelectorExpr) bool {
	debug := false
	ast.Inspect(method, func(n ast.Node) bool {
		if selector, ok := n.(*ast.SelectorExpr); ok && selector.Sel.Name == "Debug" {
			debug = true
		}
		return true
	})
	return debug
}

// logPages are the pages that list log messages.
func logPages(t *testing.T) map[string]string {
	t.Helper()
	names, err := filepath.Glob("operators/*.md")
	if err != nil {
		t.Fatal(err)
	}
	pages := map[string]string{}
	for _, name := range append(names, "oncall.md") {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		pages[name] = string(text)
	}
	return pages
}

// TestLogMessagesAreDocumented wants each message of level info and above on a page for operators.
func TestLogMessagesAreDocumented(t *testing.T) {
	var all strings.Builder
	for _, text := range logPages(t) {
		all.WriteString(text)
	}
	pages := all.String()
	messages := logMessages(sources(t))
	if len(messages) < 50 {
		t.Fatalf("only %d messages were found in the code", len(messages))
	}
	for _, message := range messages {
		if strings.HasSuffix(message, " ") { // the code puts more behind it
			if !strings.Contains(pages, "`"+message) {
				t.Errorf("log message %q is on no page", message)
			}
			continue
		}
		short, _, _ := strings.Cut(message, ":") // a page may leave out what follows
		if !strings.Contains(pages, "`"+message+"`") && !strings.Contains(pages, "`"+short+"`") {
			t.Errorf("log message %q is on no page", message)
		}
	}
}

// TestDocumentedLogMessagesExist wants each message in the tables of log lines in the code.
func TestDocumentedLogMessagesExist(t *testing.T) {
	var code strings.Builder
	for _, file := range sources(t) {
		for _, text := range literals(file) {
			code.WriteString(text + "\n")
		}
	}
	quoted := regexp.MustCompile("`([^`]+)`")
	found := 0
	for name, text := range logPages(t) {
		inTable := false
		for line := range strings.Lines(text) {
			cells := strings.Split(line, "|")
			if len(cells) < 3 {
				inTable = false
				continue
			}
			if heading := strings.TrimSpace(cells[1]); heading == "message" || heading == "log line" {
				inTable = true
				continue
			}
			if !inTable {
				continue
			}
			for _, match := range quoted.FindAllStringSubmatch(cells[1], -1) {
				found++
				if strings.HasPrefix(match[1], "copperrock: ") { // not a log line: how the program ends
					continue
				}
				message := strings.TrimPrefix(match[1], "endpoint list shard ") // it is put together from two words
				if !strings.Contains(code.String(), message) {
					t.Errorf("%s: no code logs %q", name, match[1])
				}
			}
		}
	}
	if found < 40 {
		t.Errorf("only %d messages were found on the pages", found)
	}
}
