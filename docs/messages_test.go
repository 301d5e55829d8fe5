package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// messageColumn is the heading of the first column of the tables that explain log messages.
const messageColumn = "message"

// messagePages matches the pages with such tables.
var messagePages = regexp.MustCompile(`^docs/(oncall|operators/.*)\.md$`)

// The on-call page and the operators' pages explain every message that the program logs, and no message that it never logs.
func TestLogMessages(t *testing.T) {
	logged, explained := loggedMessages(t), explainedMessages(t)
	for message, place := range logged {
		if _, ok := explained[message]; !ok {
			t.Errorf("%s logs %q, which no page explains", place, message)
		}
	}
	for message, page := range explained {
		if _, ok := logged[message]; !ok {
			t.Errorf("%s explains %q, which is never logged", page, message)
		}
	}
}

// explainedMessages returns the messages in the tables of the pages, each with the path of its page.
func explainedMessages(t *testing.T) map[string]string {
	t.Helper()
	messages := map[string]string{}
	for _, page := range readPages(t) {
		if !messagePages.MatchString(page.path) {
			continue
		}
		inTable := false
		for line := range strings.Lines(page.text) {
			if !strings.HasPrefix(line, "|") {
				inTable = false
				continue
			}
			first := strings.TrimSpace(strings.Split(line, "|")[1])
			inTable = inTable || first == messageColumn
			if !inTable {
				continue
			}
			for _, span := range codeSpan.FindAllString(first, -1) {
				if message := strings.Trim(span, "`"); !strings.HasPrefix(message, "copperrock: ") { // printed, not logged
					messages[message] = page.path
				}
			}
		}
	}
	return messages
}

// loggedMessages returns the messages of all Msg calls of log events outside of tests and the test harness, each with its folder.
func loggedMessages(t *testing.T) map[string]string {
	t.Helper()
	messages := map[string]string{}
	for folder, files := range parseProgram(t) {
		resolver := messageResolver{files: files}
		for path, file := range files {
			ast.Inspect(file, func(node ast.Node) bool {
				call, ok := node.(*ast.CallExpr)
				if !ok || calledName(call) != "Msg" || len(call.Args) != 1 {
					return true
				}
				texts := resolver.resolve(call.Args[0])
				if len(texts) == 0 {
					t.Errorf("%s logs a message whose text this test can't determine", path)
				}
				for _, text := range texts {
					messages[text] = folder
				}
				return true
			})
		}
	}
	return messages
}

// parseProgram parses the source files of the program, without tests and the test harness, and returns them by folder and path.
func parseProgram(t *testing.T) map[string]map[string]*ast.File {
	t.Helper()
	harness := filepath.Join(root, "internal", "harness")
	packages := map[string]map[string]*ast.File{}
	for _, folder := range []string{"admission", "cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case path == harness:
				return filepath.SkipDir
			case entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go"):
				return nil
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			directory := filepath.Dir(path)
			if packages[directory] == nil {
				packages[directory] = map[string]*ast.File{}
			}
			packages[directory][path] = file
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return packages
}

// messageResolver finds the possible values of string expressions in a package.
type messageResolver struct{ files map[string]*ast.File }

// resolve returns the possible texts of an expression: a literal, a concatenation, a variable to which literals are assigned, an
// element of a list of literals, or a parameter for which calls pass literals. It returns none for any other expression.
func (r messageResolver) resolve(expression ast.Expr) []string {
	switch expression := expression.(type) {
	case *ast.BasicLit:
		if text, err := strconv.Unquote(expression.Value); err == nil {
			return []string{text}
		}
	case *ast.BinaryExpr:
		var texts []string
		for _, left := range r.resolve(expression.X) {
			for _, right := range r.resolve(expression.Y) {
				texts = append(texts, left+right)
			}
		}
		return texts
	case *ast.IndexExpr:
		return r.resolve(expression.X)
	case *ast.CompositeLit:
		var texts []string
		for _, item := range expression.Elts {
			texts = append(texts, r.resolve(item)...)
		}
		return texts
	case *ast.Ident:
		return append(r.assigned(expression.Name), r.passed(expression.Name)...)
	}
	return nil
}

// assigned returns the literals that are assigned to variables with the given name.
func (r messageResolver) assigned(name string) (texts []string) {
	for _, file := range r.files {
		ast.Inspect(file, func(node ast.Node) bool {
			assignment, ok := node.(*ast.AssignStmt)
			if !ok || len(assignment.Lhs) != len(assignment.Rhs) {
				return true
			}
			for i, left := range assignment.Lhs {
				if variable, ok := left.(*ast.Ident); !ok || variable.Name != name {
					continue
				}
				switch value := assignment.Rhs[i].(type) {
				case *ast.BasicLit, *ast.CompositeLit:
					texts = append(texts, r.resolve(value)...)
				}
			}
			return true
		})
	}
	return texts
}

// passed returns the literals that calls pass for parameters with the given name to functions that log the parameter.
func (r messageResolver) passed(name string) (texts []string) {
	for _, file := range r.files {
		for _, declaration := range file.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if !ok || !logs(function, name) {
				continue
			}
			if position := parameterPosition(function, name); position >= 0 {
				texts = append(texts, r.arguments(function.Name.Name, position)...)
			}
		}
	}
	return texts
}

// arguments returns the literals at one argument position in all calls of a function.
func (r messageResolver) arguments(function string, position int) (texts []string) {
	for _, file := range r.files {
		ast.Inspect(file, func(node ast.Node) bool {
			if call, ok := node.(*ast.CallExpr); ok && calledName(call) == function && position < len(call.Args) {
				if literal, ok := call.Args[position].(*ast.BasicLit); ok {
					texts = append(texts, r.resolve(literal)...)
				}
			}
			return true
		})
	}
	return texts
}

// logs reports whether a function logs the variable with the given name.
func logs(function *ast.FuncDecl, name string) (found bool) {
	ast.Inspect(function, func(node ast.Node) bool {
		if call, ok := node.(*ast.CallExpr); ok && calledName(call) == "Msg" && len(call.Args) == 1 {
			variable, ok := call.Args[0].(*ast.Ident)
			found = found || ok && variable.Name == name
		}
		return !found
	})
	return found
}

// parameterPosition returns the index of a parameter, or -1 if the function does not have it.
func parameterPosition(function *ast.FuncDecl, name string) int {
	position := 0
	for _, field := range function.Type.Params.List {
		for _, parameter := range field.Names {
			if parameter.Name == name {
				return position
			}
			position++
		}
	}
	return -1
}

// calledName returns the name of the called function or method, without package or receiver.
func calledName(call *ast.CallExpr) string {
	switch function := call.Fun.(type) {
	case *ast.Ident:
		return function.Name
	case *ast.SelectorExpr:
		return function.Sel.Name
	}
	return ""
}
