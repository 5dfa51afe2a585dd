package docs

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"
)

// tourTimeout bounds one tour, which runs all shell commands of a page in order.
// The longest tour sends a load of 10 s.
const tourTimeout = 3 * time.Minute

var shellBlock = regexp.MustCompile("(?ms)^```sh\n(.*?)^```$")

// tourAddress returns a loopback address derived from the process ID, so that
// concurrent runs of the tests can use the samples' fixed ports.
func tourAddress() string {
	const first = 128 // second octets 128 to 191
	pid := os.Getpid()
	return net.IPv4(127, byte(first+pid>>16&63), byte(pid>>8), byte(max(1, pid&255))).String()
}

// tourDirectory copies the samples to a temporary directory and replaces
// 127.0.0.1 by another loopback address, on which the fixed ports of the samples
// are free.
func tourDirectory(t *testing.T, address string) string {
	t.Helper()
	directory := t.TempDir()
	if err := os.Mkdir(filepath.Join(directory, "examples"), 0o700); err != nil {
		t.Fatal(err)
	}
	samples, err := os.ReadDir(filepath.Join(root, "examples"))
	if err != nil {
		t.Fatal(err)
	}
	for _, sample := range samples {
		text := strings.ReplaceAll(readFile(t, filepath.Join("examples", sample.Name())), "127.0.0.1", address)
		if err := os.WriteFile(filepath.Join(directory, "examples", sample.Name()), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return directory
}

// tourScript returns the commands of a page as one script, which stops at the
// first failure and kills its background jobs on exit.
func tourScript(t *testing.T, page, directory, address string) string {
	t.Helper()
	source, err := filepath.Abs(root)
	if err != nil {
		t.Fatal(err)
	}
	var script strings.Builder
	script.WriteString("set -m -e -o pipefail\ntrap 'kill $(jobs -p) 2>/dev/null || true' EXIT\n")
	for _, block := range shellBlock.FindAllStringSubmatch(readFile(t, page), -1) {
		script.WriteString(block[1])
	}
	text := strings.ReplaceAll(script.String(), "127.0.0.1", address)
	return strings.ReplaceAll(text, "go build -o bin/", fmt.Sprintf("go build -C '%s' -o '%s/bin/'", source, directory))
}

// runTour executes the commands of a page and returns their output and the
// directory that they ran in.
func runTour(t *testing.T, page string) (output, directory string) {
	t.Helper()
	address := tourAddress()
	for _, program := range []string{"bash", "curl"} {
		if _, err := exec.LookPath(program); err != nil {
			t.Skipf("the page's commands need %s: %v", program, err)
		}
	}
	directory = tourDirectory(t, address)
	ctx, cancel := context.WithTimeout(t.Context(), tourTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, "bash", "-c", tourScript(t, page, directory, address))
	command.Dir = directory
	command.Env = append(os.Environ(), "ARBUTUSBANK_SERVER="+address+":7001")
	command.WaitDelay = time.Second // background jobs keep the output pipe open
	command.Cancel = func() error { return command.Process.Signal(os.Interrupt) }
	printed, err := command.CombinedOutput()
	if err != nil {
		t.Errorf("%s: %v\n%s", page, err, printed)
	}
	return string(printed), directory
}

func expectInOrder(t *testing.T, page, output string, want []string) {
	t.Helper()
	remaining := output
	for _, text := range want {
		_, after, found := strings.Cut(remaining, text)
		if !found {
			t.Errorf("%s: the commands do not print %q in the expected order:\n%s", page, text, output)
			return
		}
		remaining = after
	}
}

// Guards against commands of the first-start page that fail when run as written,
// and against a host that does not shut down gracefully at its end.
func TestFirstStartWorks(t *testing.T) {
	const page = "docs/operations/first-start.md"
	output, directory := runTour(t, page)
	expectInOrder(t, page, output, []string{
		"examples/host.jsonc: ok", `{"ready":true,"config_version":0}`, "Version 2 accepted.", "month close",
		"X-Config-Version: 2", "data: [DONE]", "Idempotent-Replayed: true", "problem:missing-key",
		`"outcome": "served"`, "curators   long",
	})
	log, err := os.ReadFile(filepath.Join(directory, "host.log"))
	if err != nil || !strings.Contains(string(log), "All requests finished.") {
		t.Errorf("log of the host, error %v:\n%s", err, log)
	}
}

// Guards against commands of the README that fail when run as written.
func TestReadmeTourWorks(t *testing.T) {
	const page = "README.md"
	output, _ := runTour(t, page)
	expectInOrder(t, page, output, []string{
		"Version 2 accepted.", "X-Config-Version: 2", "CONFIRMED", "by alice: month close", `"outcome": "served"`, `"recent"`,
	})
}
