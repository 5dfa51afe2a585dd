// The stand-ins and clients of the cases in this folder: a store, workers and callers on
// loopback addresses, as the users' pages describe them.
//
//	scene CASE RECORD
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*scene){"expiry": expiry, "unframed": unframed, "blame": blame, "entry": entry, "revoke": revoke}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scene expiry|unframed|blame|entry|revoke RECORD")
		os.Exit(2)
	}
	cases[os.Args[1]](newScene(os.Args[2]))
}
