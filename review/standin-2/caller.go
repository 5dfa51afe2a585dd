package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// callTimeout is the deadline of an ordinary caller.
const callTimeout = 2500 * time.Millisecond

// answer is what a caller received.
type answer struct {
	status    int
	signature string
	body      string
}

// exchange sends a request on a new connection and reads the response.
func exchange(address, method, text string, timeout time.Duration) (answer, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{}, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return answer{}, err
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return answer{}, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header.Get("Response-Signature"), string(body)}, err
}

// ordinaryCallers send a lookup every interval until stop is called.
type ordinaryCallers struct {
	sent, served atomic.Int64
	stop         func()
}

func (c *runningCase) startCallers(address string, interval time.Duration) *ordinaryCallers {
	callers := &ordinaryCallers{}
	ended, done := make(chan struct{}), make(chan struct{})
	callers.stop = func() { close(ended); <-done }
	go func() {
		defer close(done)
		for i := 1; ; i++ {
			select {
			case <-ended:
				return
			case <-time.After(interval):
			}
			id := fmt.Sprintf("lookup-%d", i)
			callers.sent.Add(1)
			got, err := exchange(address, http.MethodGet, lookupText(id), callTimeout)
			if err == nil && got.status == http.StatusOK && got.signature != "" {
				callers.served.Add(1)
			}
			c.record("%s: status %d, signature %q, error %v", id, got.status, got.signature, err)
		}
	}()
	return callers
}

func lookupText(id string) string {
	return fmt.Sprintf("GET %s%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n",
		lookupPrefix, id, hostName, id, callTimeout.Milliseconds())
}
