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

// messageColumn is the heading of the first column of the tables that explain log messages, on these pages.
const messageColumn = "message"

var messagePages = regexp.MustCompile(`^docs/(oncall|operators/.*)\.md$`)

// TestLogMessages compares the messages that the program logs with those that the on-call page and the operators' pages explain,
// both ways.
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

// explainedMessages are the messages in the tables of the pages, each with its page.
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
				if message := strings.Trim(span, "`"); !strings.HasPrefix(message, "copperrock: ") { // a line that is no log
					messages[message] = page.path
				}
			}
		}
	}
	return messages
}

// loggedMessages are the messages of all calls of a log event's Msg outside of tests and their harness, each with its place.
func loggedMessages(t *testing.T) map[string]string {
	t.Helper()
	messages := map[string]string{}
	for folder, files := range parsePrograms(t) {
		resolver := messageResolver{files: files}
		for path, file := range files {
			ast.Inspect(file, func(node ast.Node) bool {
				call, ok := node.(*ast.CallExpr)
				if !ok || calledName(call) != "Msg" || len(call.Args) != 1 {
					return true
				}
				texts := resolver.resolve(call.Args[0])
				if len(texts) == 0 {
					t.Errorf("%s logs a message that this test can't read", path)
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

// parsePrograms parses the files of all packages that are linked into the program, by folder and path.
func parsePrograms(t *testing.T) map[string]map[string]*ast.File {
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
			in := filepath.Dir(path)
			if packages[in] == nil {
				packages[in] = map[string]*ast.File{}
			}
			packages[in][path] = file
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return packages
}

// messageResolver finds the texts that an expression of one package may have.
type messageResolver struct{ files map[string]*ast.File }

// resolve finds the texts of an expression: a literal, a sum, a variable that is given literals, an item of a list of literals,
// or a parameter that all calls give literals. There are none where it is something else.
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

// assigned finds the literals that are assigned to variables of a name.
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

// passed finds the literals that calls pass as parameters of a name to functions that log.
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

// arguments finds the literals at one position of the calls of a function.
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

// logs tells whether a function logs the variable of a name.
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

// parameterPosition is the place of a parameter, below 0 for none.
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

// calledName is the name of the function or method that is called, without what it belongs to.
func calledName(call *ast.CallExpr) string {
	switch function := call.Fun.(type) {
	case *ast.Ident:
		return function.Name
	case *ast.SelectorExpr:
		return function.Sel.Name
	}
	return ""
}
