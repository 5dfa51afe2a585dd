// Command arbutusbank runs a gateway host or checks its settings.
package main

import (
	"os"

	"github.com/arbutusbank/arbutusbank/internal/server"
)

func main() {
	os.Exit(server.Run(os.Args[1:], os.Stdout, os.Stderr))
}
