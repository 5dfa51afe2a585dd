package docs

import (
	"encoding/json"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/host"
	"github.com/arbutusbank/arbutusbank/internal/problem"
	"github.com/arbutusbank/arbutusbank/internal/settings"
)

// fieldPaths returns the paths of the scalar fields in a type's JSON form, joined by
// separator. Elements of maps and arrays of objects are named NAME and N.
func fieldPaths(value reflect.Type, name, separator string) []string {
	switch {
	case value.Kind() == reflect.Struct:
		var names []string
		for i := range value.NumField() {
			tag, _, _ := strings.Cut(value.Field(i).Tag.Get("json"), ",")
			names = append(names, fieldPaths(value.Field(i).Type, name+separator+tag, separator)...)
		}
		return names
	case value.Kind() == reflect.Map && value.Elem().Kind() == reflect.Struct:
		return fieldPaths(value.Elem(), name+separator+"NAME", separator)
	case value.Kind() == reflect.Slice && value.Elem().Kind() == reflect.Struct:
		return fieldPaths(value.Elem(), name+separator+"N", separator)
	default:
		return []string{name}
	}
}

// Guards against a settings reference with missing or unknown fields, or with
// defaults that differ from the code.
func TestSettingsReference(t *testing.T) {
	const page = "docs/operations/settings.md"
	rows := tableRows(t, page)
	var want []string
	for _, name := range fieldPaths(reflect.TypeFor[settings.Settings](), "", ".") {
		want = append(want, strings.TrimPrefix(name, "."))
	}
	compareNames(t, page, rows, want)
	data, err := json.Marshal(settings.Default())
	if err != nil {
		t.Fatal(err)
	}
	var defaults map[string]any
	if err := json.Unmarshal(data, &defaults); err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		if got := defaultCell(defaults, r.name); r.cells[0] != got {
			t.Errorf("%s: default of %s is %s, want %s", page, r.name, r.cells[0], got)
		}
	}
}

// defaultCell returns a default value in the format of the page.
func defaultCell(defaults map[string]any, name string) string {
	var value any = defaults
	for _, part := range strings.Split(name, ".") {
		members, _ := value.(map[string]any)
		value = members[part]
	}
	switch v := value.(type) {
	case string:
		if v != "" {
			return "`" + strconv.Quote(v) + "`"
		}
	case float64:
		return "`" + strconv.FormatFloat(v, 'f', -1, 64) + "`"
	}
	return "none"
}

// Guards against a configuration reference with missing or unknown fields.
func TestConfigurationReference(t *testing.T) {
	const page = "docs/operations/configuration.md"
	compareNames(t, page, tableRows(t, page), fieldPaths(reflect.TypeFor[config.Document](), "", "/"))
}

// Guards against sections of the state dump that are not documented.
func TestDumpReference(t *testing.T) {
	const page = "docs/operations/state-dump.md"
	var want []string
	dump := reflect.TypeFor[host.Dump]()
	for i := range dump.NumField() {
		want = append(want, dump.Field(i).Tag.Get("json"))
	}
	compareNames(t, page, tableRows(t, page), want)
}

var (
	namePattern  = regexp.MustCompile(`fqName: "(arbutusbank_[a-z_]+)"`)
	labelPattern = regexp.MustCompile(`variableLabels: \{([a-z_,]*)\}`)
)

// exportedMetrics returns the labels of every metric that a host exports, by
// metric name.
func exportedMetrics(t *testing.T) map[string]string {
	t.Helper()
	options, err := host.LoadOptions(filepath.Join(root, "examples/host.jsonc"))
	if err != nil {
		t.Fatal(err)
	}
	h, err := host.New(options)
	if err != nil {
		t.Fatal(err)
	}
	descriptions := make(chan *prometheus.Desc)
	go func() {
		defer close(descriptions)
		h.DescribeMetrics(descriptions)
	}()
	metrics := map[string]string{}
	for description := range descriptions {
		text := description.String()
		name := namePattern.FindStringSubmatch(text)
		if name == nil {
			continue // a metric of the Go runtime or the process
		}
		labels := labelPattern.FindStringSubmatch(text)
		if labels == nil {
			t.Fatalf("description %s has no labels", text)
		}
		metrics[name[1]] = strings.ReplaceAll(labels[1], ",", ", ")
	}
	return metrics
}

// Guards against metrics that are not documented, documented labels that differ
// from the code, and alert rules on metrics that no host exports.
func TestMetricsReference(t *testing.T) {
	const page = "docs/operations/metrics.md"
	metrics := exportedMetrics(t)
	rows := tableRows(t, page)
	var want []string
	for name := range metrics {
		want = append(want, name)
	}
	slices.Sort(want)
	compareNames(t, page, rows, want)
	for _, r := range rows {
		if r.cells[0] != metrics[r.name] {
			t.Errorf("%s: labels of %s are %q, want %q", page, r.name, r.cells[0], metrics[r.name])
		}
	}
	suffix := regexp.MustCompile(`_(bucket|sum|count)$`)
	for _, name := range regexp.MustCompile(`arbutusbank_[a-z_]+`).FindAllString(readFile(t, page), -1) {
		if _, ok := metrics[suffix.ReplaceAllString(name, "")]; !ok {
			t.Errorf("%s uses %s, which no host exports", page, name)
		}
	}
}

// problemKinds returns the values of the constants of type problem.Kind.
func problemKinds(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, "internal/problem/problem.go"), nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var kinds []string
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); !ok || name.Name != "Kind" {
			return true
		}
		literal, ok := spec.Values[0].(*ast.BasicLit)
		if !ok {
			t.Fatalf("constant %s is not a literal", spec.Names[0])
		}
		kinds = append(kinds, strings.Trim(literal.Value, `"`))
		return true
	})
	if len(kinds) == 0 {
		t.Fatal(errors.New("no constants of type Kind found"))
	}
	return kinds
}

// Guards against refusals that are not documented, or documented with another
// status than the code sends.
func TestProblemsReference(t *testing.T) {
	const page = "docs/operations/problems.md"
	rows := tableRows(t, page)
	compareNames(t, page, rows, problemKinds(t))
	for _, r := range rows {
		refusal := problem.Error{Kind: problem.Kind(r.name)}
		if want := fmt.Sprint(refusal.Status()); r.cells[0] != want {
			t.Errorf("%s: status of %s is %s, want %s", page, r.name, r.cells[0], want)
		}
	}
}
