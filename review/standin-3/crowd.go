package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	crowdSize  = 2500
	bodyBytes  = 1 << 20
	missing    = 1000 // how far the bodies stop short of their end
	memoryMB   = 284
	crowdStays = 15 * time.Second
)

// usage is what a process takes, in bytes.
type usage struct {
	resident, unread int64
	sockets          int
}

func (u usage) total() int64 { return u.resident + u.unread }

// usageOf returns the resident memory of a host's process, and the bytes that its connections have
// received and it has not read. Connections that it has not accepted yet do not count.
func usageOf(h *host) (u usage) {
	process := fmt.Sprintf("/proc/%d/", h.process.Process.Pid)
	status, err := os.ReadFile(process + "status")
	if err != nil {
		return u // it has ended
	}
	for _, line := range strings.Split(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			u.resident = kilobytes << 10
		}
	}
	own := map[string]bool{}
	entries, _ := os.ReadDir(process + "fd")
	for _, e := range entries {
		if link, err := os.Readlink(process + "fd/" + e.Name()); err == nil && strings.HasPrefix(link, "socket:[") {
			own[strings.Trim(link, "socket:[]")] = true
		}
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		fail("%v", err)
	}
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 10 || fields[3] == "0A" || !own[fields[9]] { // 0A: listens
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		bytes, _ := strconv.ParseInt(queue, 16, 64)
		u.unread += bytes
		u.sockets++
	}
	return u
}

// crowd: many callers send bodies of legal size that stop short of their end.
func crowd(s *scene, trouble bool) {
	route := ledgerRoute()
	route["public"] = true
	s.store.set("op", "config", config(7, []any{route}, []any{ledgerService()}, tenant("hule930", "key-kept")))
	for i := range 3 {
		newWorker(s.store, s.record, fmt.Sprintf("i-%02d", i), "xano55b", zones[i%3], 6, nil, nil)
	}
	s.startHosts(1)
	s.waitReady(10 * time.Second)
	time.Sleep(3 * time.Second)
	h := s.hosts[0]
	stop := make(chan struct{})
	var group sync.WaitGroup
	var sent, connected atomic.Int64
	if trouble {
		body := bytes.Repeat([]byte("b"), bodyBytes-missing)
		for range crowdSize {
			group.Add(1)
			go func() {
				defer group.Done()
				conn, err := net.DialTimeout("tcp", h.front, 5*time.Second)
				if err != nil {
					return
				}
				defer conn.Close()
				_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10) // bounds what the kernel holds for the crowd itself
				connected.Add(1)
				stopClosing := make(chan struct{})
				defer close(stopClosing)
				go func() {
					select {
					case <-stop:
						_ = conn.Close()
					case <-stopClosing:
					}
				}()
				fmt.Fprintf(conn, "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2500\r\nContent-Length: %d\r\n\r\n", newID(), bodyBytes)
				if n, err := conn.Write(body); err == nil && n == len(body) {
					sent.Add(1)
				}
				_, _ = io.Copy(io.Discard, conn) // a refusal, and the end of the connection
			}()
		}
	}
	var broken []string
	highest := usage{}
	served, asked := 0, 0
	asking := make(chan struct{})
	go func() {
		defer close(asking)
		for range 10 {
			asked++
			if a := s.send(h, "POST", "/puxa403/2f", "key-kept", "", 2500*time.Millisecond); a.status == 200 {
				served++
			}
			time.Sleep(crowdStays / 12)
		}
	}()
	for end := time.Now().Add(crowdStays); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		u := usageOf(h)
		if u.total() > highest.total() {
			highest = u
		}
		if u.total() > memoryMB<<20 {
			broken = append(broken, fmt.Sprintf("%d MB: %d resident, %d received and not read, %d connections", u.total()>>20, u.resident>>20, u.unread>>20, u.sockets))
		}
	}
	<-asking
	close(stop)
	group.Wait()
	select {
	case <-h.exited:
		broken = append(broken, "the process has ended")
	default:
	}
	summary := fmt.Sprintf("highest: %d MB, of them %d resident, %d received and not read, %d connections; %d connections made, %d bodies sent; %d of %d ordinary requests served",
		highest.total()>>20, highest.resident>>20, highest.unread>>20, highest.sockets, connected.Load(), sent.Load(), served, asked)
	s.record.add("%s", summary)
	fmt.Println(summary)
	s.verdict("Fault", broken)
}
