package winch_test

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

	"gotest.tools/v3/assert"
)

// declaredEvents maps the number of each event constant declared in the code to its name.
func declaredEvents(t *testing.T) map[string]string {
	t.Helper()
	events := map[string]string{}
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || entry.Name() != "events.go" {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			spec, isValue := node.(*ast.ValueSpec)
			if !isValue || len(spec.Values) != 1 {
				return true
			}
			number, isLiteral := spec.Values[0].(*ast.BasicLit)
			if isLiteral && isEventNumber(spec.Type) {
				_, duplicate := events[number.Value]
				assert.Assert(t, !duplicate, "event number %s in %s is declared twice", number.Value, path)
				events[number.Value] = spec.Names[0].Name
			}
			return true
		})
		return nil
	})
	assert.NilError(t, err)
	return events
}

func isEventNumber(expression ast.Expr) bool {
	selector, isSelector := expression.(*ast.SelectorExpr)
	return isSelector && selector.Sel.Name == "EventNumber"
}

// documentedEvents maps the number of each event listed in docs/EVENTS.md to its name.
func documentedEvents(t *testing.T) map[string]string {
	t.Helper()
	page, err := os.ReadFile("docs/EVENTS.md")
	assert.NilError(t, err)
	events := map[string]string{}
	row := regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \|`)
	for _, match := range row.FindAllStringSubmatch(string(page), -1) {
		events[match[1]] = match[2]
	}
	return events
}

func TestEventCatalogue(t *testing.T) {
	declared, documented := declaredEvents(t), documentedEvents(t)
	t.Run("matches the code", func(t *testing.T) {
		assert.DeepEqual(t, documented, declared)
	})
	t.Run("every event is logged somewhere", func(t *testing.T) {
		source := sourceWithoutComments(t)
		for number, name := range declared {
			assert.Assert(t, strings.Count(source, name) > 1, "event %s %s is never used", number, name)
		}
	})
}

// sourceWithoutComments returns the content of all Go files except tests, without comment lines.
func sourceWithoutComments(t *testing.T) string {
	t.Helper()
	source := strings.Builder{}
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		content, err := os.ReadFile(path)
		for _, line := range strings.Split(string(content), "\n") {
			if !strings.HasPrefix(strings.TrimSpace(line), "//") {
				source.WriteString(line + "\n")
			}
		}
		return err
	})
	assert.NilError(t, err)
	return source.String()
}
