package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	calmTime  = 2 * time.Second
	crowdTime = 8 * time.Second
	// sendTimeout ends the sending of a member of the crowd that is not read.
	sendTimeout = 10 * time.Second
	// missing is how far stated bodies stop short of their end, in bytes.
	missing = 1000
)

// crowdGroup is a number of callers that each send a request inside the limits, up to just
// before the end of its body, and stay.
type crowdGroup struct {
	members   int
	headBytes int
	bodyBytes int // stated length; 0: a short body in chunks
}

// crowd has fewer connections than the host's descriptors.
var crowd = []crowdGroup{
	{members: 600, headBytes: 16000},
	{members: 1900, headBytes: 4000},
	{members: 120, headBytes: 300, bodyBytes: bodyBytes},
}

// runCrowd checks that a process stays within the memory of its machine while a crowd of
// callers sends bodies that stop short of their end.
func runCrowd(c *runningCase) (held bool, err error) {
	platform, _, err := c.startPlatform()
	if err != nil {
		return false, err
	}
	h, err := c.startHost("front-obihiro-1", platform.address)
	if err != nil {
		return false, err
	}
	callers := c.startCallers(h.callers, 200*time.Millisecond)
	defer callers.stop()
	most := c.watchMemory(h, calmTime)
	if c.trouble {
		disperse := gatherCrowd(c, h)
		most = max(most, c.watchMemory(h, crowdTime))
		disperse()
	} else {
		most = max(most, c.watchMemory(h, crowdTime))
	}
	limit := int64(memoryMB) << 10
	c.record("most private memory %d KiB, memory of the machine %d KiB, process ended: %v; %d of %d lookups served",
		most, limit, h.hasEnded(), callers.served.Load(), callers.sent.Load())
	return most <= limit && !h.hasEnded(), nil
}

// watchMemory returns the most private memory of a host within a time, in KiB.
func (c *runningCase) watchMemory(h *host, d time.Duration) int64 {
	most := int64(0)
	for end := time.Now().Add(d); time.Now().Before(end) && !h.hasEnded(); time.Sleep(250 * time.Millisecond) {
		now := privateMemory(h.command.Process.Pid)
		most = max(most, now)
		c.record("private memory of the process: %d KiB", now)
	}
	return most
}

// privateMemory returns the resident memory of a process without that of files, in KiB.
func privateMemory(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0 // it has ended
	}
	for _, line := range strings.Split(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			amount, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return amount
		}
	}
	return 0
}

// gatherCrowd starts the crowd and returns once each member has sent its part. The returned
// function ends it.
func gatherCrowd(c *runningCase, h *host) (disperse func()) {
	ended := make(chan struct{})
	outcomes := newOutcomes()
	var gone sync.WaitGroup
	for n, group := range crowd {
		var sent sync.WaitGroup
		for i := range group.members {
			sent.Add(1)
			gone.Add(1)
			go func() {
				defer gone.Done()
				group.attend(h.callers, fmt.Sprintf("crowd-%d-%d", n, i), sent.Done, ended, outcomes)
			}()
		}
		sent.Wait()
		c.record("group %d of the crowd has sent its part: %d callers, heads of at most %d bytes, private memory %d KiB",
			n+1, group.members, group.headBytes, privateMemory(h.command.Process.Pid))
	}
	return func() {
		c.record("of the crowd: %s", outcomes)
		close(ended)
		gone.Wait()
	}
}

// outcomes counts the members of the crowd by what they have got so far. It is safe for
// concurrent use.
type outcomes struct {
	mu     sync.Mutex
	counts map[string]int
}

func newOutcomes() *outcomes { return &outcomes{counts: map[string]int{}} }

// move moves a member from one outcome to another; from "": a new member.
func (o *outcomes) move(from, to string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if from != "" {
		o.counts[from]--
	}
	o.counts[to]++
}

// String lists the outcomes.
func (o *outcomes) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []string
	for _, name := range slices.Sorted(maps.Keys(o.counts)) {
		list = append(list, fmt.Sprintf("%d %s", o.counts[name], name))
	}
	return strings.Join(list, ", ")
}

// stays is the outcome of members without an answer whose connection is open.
const stays = "stay without an answer"

// await records what a member gets.
func (o *outcomes) await(conn net.Conn) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		o.move(stays, "closed without an answer")
		return
	}
	_ = response.Body.Close() // only the status matters
	o.move(stays, fmt.Sprintf("answered %d", response.StatusCode))
}

// attend sends one member's part and stays until the crowd ends.
func (g crowdGroup) attend(address, id string, sent func(), ended <-chan struct{}, outcomes *outcomes) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		outcomes.move("", "not connected")
		sent()
		return
	}
	outcomes.move("", stays)
	go outcomes.await(conn)
	defer conn.Close()
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout)) // a TCP connection supports it
	_, _ = io.WriteString(conn, g.head(id))                // the host may refuse it
	if g.bodyBytes == 0 {
		_, _ = io.WriteString(conn, "Transfer-Encoding: chunked\r\n\r\n5\r\nabc")
	} else {
		_, err = fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n", g.bodyBytes)
		block := make([]byte, 64<<10)
		for left := g.bodyBytes - missing; err == nil && left > 0; left -= len(block) {
			_, err = conn.Write(block[:min(left, len(block))])
		}
	}
	sent()
	<-ended
}

// head returns the head of a request without the fields that state its body. It is filled up
// with short fields, no two alike.
func (g crowdGroup) head(id string) string {
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 20000\r\nModel: m1\r\n", reviewPrefix, id, hostName, id)
	const fixed = 64 // of the fields that state the body
	for i := 0; head.Len() < g.headBytes-fixed; i++ {
		head.WriteString(fieldName(i) + ":1\r\n")
	}
	return head.String()
}

// fieldName returns a name of two or three letters.
func fieldName(i int) string {
	name := []byte{byte('a' + i%26), byte('a' + i/26%26)}
	if i >= 26*26 {
		name = append(name, byte('a'+i/(26*26)))
	}
	return string(name)
}
