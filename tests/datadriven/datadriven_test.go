// Package datadriven compares the problems reported for invalid settings and patches
// with the expected output in testdata. Run with -rewrite to update that output.
package datadriven

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/config/configtest"
	"github.com/arbutusbank/arbutusbank/internal/problem"
	"github.com/arbutusbank/arbutusbank/internal/settings"
)

// Guards against unintended changes of messages, missing problems and problems without
// a pointer to the value.
func TestReportedProblems(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "settings":
				_, problems := settings.Parse([]byte(d.Input))
				return formatProblems(problems)
			case "patch":
				return applyPatch(t, d.Input)
			}
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		})
	})
}

// applyPatch applies a patch to the document of configtest and returns the changes or
// the problems, one per line.
func applyPatch(t *testing.T, input string) string {
	t.Helper()
	base := configtest.Document()
	next, err := config.ApplyPatch(base, []byte(input))
	var invalid *config.InvalidError
	if errors.As(err, &invalid) {
		return formatProblems(invalid.Fields)
	}
	if err != nil {
		return err.Error() + "\n"
	}
	changes, err := config.Diff(base, next)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, change := range changes {
		fmt.Fprintf(&out, "%s %s\n", change.Op, change.Path)
	}
	return out.String()
}

func formatProblems(problems []problem.FieldError) string {
	if len(problems) == 0 {
		return "ok\n"
	}
	var out strings.Builder
	for _, p := range problems {
		fmt.Fprintf(&out, "%s: %s\n", p.Pointer, p.Reason)
	}
	return out.String()
}
