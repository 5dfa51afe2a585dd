// Command arbutusctl is the command-line tool for operators and developers.
package main

import (
	"os"

	"github.com/arbutusbank/arbutusbank/internal/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr))
}
