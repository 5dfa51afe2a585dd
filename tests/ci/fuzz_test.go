package ci

import (
	"strings"
	"testing"
)

// newFuzzProject returns a project with one fuzz target, whose body is given.
func newFuzzProject(t *testing.T, body string) *project {
	t.Helper()
	p := newProject(t, "# nothing\n")
	p.write("internal/doc.go", "package internal\n")
	p.write("platform/part_test.go", "package platform\n\nimport \"testing\"\n\n"+
		"func FuzzPart(f *testing.F) {\n\tf.Add([]byte(\"seed\"))\n\tf.Fuzz(func(t *testing.T, data []byte) {\n"+body+"\n\t})\n}\n")
	return p
}

// Guards against fuzz runs that end by time: go test takes the end of the time for a
// failure of the target if it comes between two steps of its own.
func TestFuzzTargetsRunByCount(t *testing.T) {
	output, passed := newFuzzProject(t, "").run("fuzz")
	if !passed || !strings.Contains(output, "fuzz FuzzPart: execs: 100000") {
		t.Errorf("passed %v; want a run of 100000 inputs:\n%s", passed, output)
	}
}

// Guards against a run that passes although a fuzz target fails.
func TestFailingFuzzTargetFailsTheRun(t *testing.T) {
	output, passed := newFuzzProject(t, "t.Error(\"fails on\", string(data))").run("fuzz")
	if passed || !strings.Contains(output, "fails on seed") {
		t.Errorf("passed %v with a target that fails:\n%s", passed, output)
	}
}

// Guards against a run that a target which hangs on an input keeps from ending.
func TestHangingFuzzTargetFailsTheRun(t *testing.T) {
	output, passed := newFuzzProject(t, "for {\n}").run("fuzz", "FUZZ_TIMEOUT=20s")
	if passed {
		t.Errorf("passed with a target that hangs:\n%s", output)
	}
}
