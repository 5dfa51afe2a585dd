// Package testbinary builds the program for tests that start it as a separate process.
package testbinary

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// program is the import path of the program.
const program = "github.com/arbutusbank/arbutusbank/cmd/arbutusbank"

// Run builds the program, sets path to its binary, runs the tests and returns the exit code for
// os.Exit. The binary is removed at the end.
func Run(m *testing.M, path *string) int {
	directory, err := os.MkdirTemp("", "arbutusbank-test-*")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	*path = filepath.Join(directory, "arbutusbank")
	if output, err := exec.Command("go", "build", "-o", *path, program).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v: %s", err, output)
		return 1
	}
	return m.Run()
}
