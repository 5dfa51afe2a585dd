// Command standin-3 plays the scripted cases of review 3 with the system's own programs.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime ends a case that takes too long.
const maxTime = 115 * time.Second

// verdict ends a case: broken lists what broke the rule.
func (s *scene) verdict(rule string, broken []string) {
	for i, line := range broken {
		s.record.add("BROKEN %s", line)
		if i < 5 {
			fmt.Println("broken:", line)
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		s.close()
	} else {
		stopAll()
		fmt.Println("logs:", s.dir)
	}
	if len(broken) > 0 {
		fmt.Printf("%s broken, %d times\n", rule, len(broken))
		os.Exit(1)
	}
	fmt.Printf("%s held\n", rule)
	os.Exit(0)
}

func main() {
	if len(os.Args) != 3 {
		fail("usage: standin-3 CASE RECORD")
	}
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(*scene, bool){"drill-key": drillKey, "drill-order": drillOrder, "crowd": crowd}
	play := cases[os.Args[1]]
	if play == nil {
		fail("no case %s", os.Args[1])
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			fail("stopped")
		case <-time.After(maxTime):
			fail("not done after %v", maxTime)
		}
	}()
	play(newScene(os.Args[2]), trouble)
}
