// Command standin-2 runs the cases of the second review. Each case starts hosts of the
// built program with stand-ins for the platform's store, its workers and callers, all on
// loopback addresses, and checks one rule by what callers and workers see.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether the rule held; an error means that the
// case could not run.
var cases = map[string]func(c *runningCase) (held bool, err error){
	"crowd":   runCrowd,
	"limit":   runLimit,
	"models":  runModels,
	"options": runOptions,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE PROGRAM FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, program, folder string) int {
	c, err := newCase(program, folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.close()
	held, err := cases[name](c)
	switch {
	case err != nil:
		c.record("the case could not run: %v", err)
		return exitNotRun
	case !held:
		c.record("result: the rule was broken")
		return exitBroken
	}
	c.record("result: the rule held")
	return exitHeld
}
