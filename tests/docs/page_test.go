package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// root is the path of the repository's root directory.
const root = "../.."

func readFile(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(root, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// row is a table row whose first cell is a name in backquotes.
type row struct {
	name  string
	cells []string // cells after the name
}

// tableRows returns the table rows of a page that start with a name in backquotes.
func tableRows(t *testing.T, page string) []row {
	t.Helper()
	var rows []row
	for line := range strings.Lines(readFile(t, page)) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		rows = append(rows, row{name: strings.Trim(cells[0], "`"), cells: cells[1:]})
	}
	return rows
}

// compareNames reports names that are missing from a page, repeated in it, or
// unknown to the code.
func compareNames(t *testing.T, page string, rows []row, want []string) {
	t.Helper()
	seen := map[string]int{}
	for _, r := range rows {
		seen[r.name]++
		if !slices.Contains(want, r.name) {
			t.Errorf("%s describes %q, which the code does not have", page, r.name)
		}
	}
	for _, name := range want {
		if seen[name] != 1 {
			t.Errorf("%s describes %q %d times, want once", page, name, seen[name])
		}
	}
}

// pages returns the paths of all pages, relative to root.
func pages(t *testing.T) []string {
	t.Helper()
	var names []string
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/*/*.md"} {
		found, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range found {
			relative, err := filepath.Rel(root, name)
			if err != nil {
				t.Fatal(err)
			}
			names = append(names, relative)
		}
	}
	return names
}

var linkPattern = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)

// Guards against links to files that do not exist.
func TestLinksExist(t *testing.T) {
	for _, page := range pages(t) {
		for _, match := range linkPattern.FindAllStringSubmatch(readFile(t, page), -1) {
			target := filepath.Join(root, filepath.Dir(page), match[1])
			if _, err := os.Stat(target); err != nil {
				t.Errorf("%s links to %s: %v", page, match[1], err)
			}
		}
	}
}
