package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// project is a small project with the scripts of this one.
type project struct {
	t         *testing.T
	directory string
}

// newProject writes a project with a package whose tests TestListed and TestOther
// fail, if named, and whose KNOWN-RED.txt is given.
func newProject(t *testing.T, knownRed string, failing ...string) *project {
	t.Helper()
	p := &project{t: t, directory: t.TempDir()}
	p.copy("../../.ci/run", ".ci/run")
	p.copy("../../.ci/known-red", ".ci/known-red")
	p.copy("../../.ci/go-toolchain", ".ci/go-toolchain")
	p.copy("../../Makefile", "Makefile")
	p.write("go.mod", "module example\n\ngo 1.26\n")
	p.write("KNOWN-RED.txt", knownRed)
	p.write("tests/doc.go", "package tests\n")
	p.write("part/part_test.go", "package part\n\nimport \"testing\"\n\n"+
		testSource("TestListed", failing)+testSource("TestListedToo", failing)+testSource("TestOther", failing))
	return p
}

// testSource returns a test that leaves its name in the output.
func testSource(name string, failing []string) string {
	call := "Log"
	if strings.Contains(" "+strings.Join(failing, " ")+" ", " "+name+" ") {
		call = "Error"
	}
	return "func " + name + "(t *testing.T) { t." + call + "(\"ran " + name + "\") }\n\n"
}

func (p *project) copy(from, to string) {
	p.t.Helper()
	content, err := os.ReadFile(from)
	if err != nil {
		p.t.Fatal(err)
	}
	p.write(to, string(content))
}

func (p *project) write(name, content string) {
	p.t.Helper()
	path := filepath.Join(p.directory, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		p.t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
		p.t.Fatal(err)
	}
}

// runUnit runs the unit tests as CI does. It returns the output and whether they passed.
func (p *project) runUnit() (output string, passed bool) { return p.run("unit") }

// run runs a target of the Makefile as CI does, with further environment variables.
func (p *project) run(target string, environment ...string) (output string, passed bool) {
	p.t.Helper()
	command := exec.Command("bash", ".ci/run", target)
	command.Dir = p.directory
	command.Env = append(append(os.Environ(), "GOWORK=off"), environment...)
	combined, err := command.CombinedOutput()
	return string(combined), err == nil
}

const twoListed = "red part TestListed | command | seen | issue 1\nred part TestListedToo | command | seen | issue 1\nopen part TestOther | command | seen | issue 1\n"

// Guards against a list of red tests that does not reach go test: with two entries the
// pattern was mangled, matched no test, and the listed tests decided about the run.
func TestListedTestsArePassedOver(t *testing.T) {
	output, passed := newProject(t, twoListed, "TestListed", "TestListedToo").runUnit()
	if !passed || strings.Contains(output, "ran TestListed") {
		t.Errorf("passed %v; a listed test was not passed over:\n%s", passed, output)
	}
	if !strings.Contains(output, "red part TestListedToo") {
		t.Errorf("a listed test is not printed:\n%s", output)
	}
}

// Guards against a run that passes although a test fails that is not listed as red.
func TestUnlistedFailureFailsTheRun(t *testing.T) {
	for name, list := range map[string]string{"two listed": twoListed, "none listed": "# nothing\n"} {
		output, passed := newProject(t, list, "TestOther").runUnit()
		if passed || !strings.Contains(output, "ran TestOther") {
			t.Errorf("%s: passed %v:\n%s", name, passed, output)
		}
	}
}

// Guards against entries that name no test, so that a renamed test stays listed, and
// against passing over a test of another package with the same name.
func TestEntriesNameOneTest(t *testing.T) {
	unknown := newProject(t, "red part TestRenamed | command | seen | issue 1\n")
	if output, passed := unknown.runUnit(); passed || !strings.Contains(output, "TestRenamed") {
		t.Errorf("passed %v with an entry that names no test:\n%s", passed, output)
	}
	ambiguous := newProject(t, twoListed)
	ambiguous.write("other/other_test.go", "package other\n\nimport \"testing\"\n\n"+testSource("TestListed", nil))
	if output, passed := ambiguous.runUnit(); passed || !strings.Contains(output, "./other") {
		t.Errorf("passed %v with an entry that two packages match:\n%s", passed, output)
	}
}
