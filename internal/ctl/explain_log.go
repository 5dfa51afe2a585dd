package ctl

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"
)

const (
	// maxLogLineBytes is the maximum length of one line of a log.
	maxLogLineBytes = 1 << 20
	// explainLookback is the period before a request whose events are included.
	explainLookback = 2 * time.Second
)

// logLine is one line of a gateway host's log. Missing fields are empty.
type logLine struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Host     string    `json:"host"`
	Request  string    `json:"request"`
	Model    string    `json:"model"`
	Load     string    `json:"load"`
	Upstream string    `json:"upstream"`
	TookMS   int64     `json:"took_ms"`

	text string
}

// RequestNotLoggedError reports that no line of the logs names a request.
type RequestNotLoggedError struct{ Request string }

// Error implements error.
func (e *RequestNotLoggedError) Error() string {
	return "no line of the logs names request " + e.Request
}

// LogFileError reports a log that cannot be read.
type LogFileError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *LogFileError) Error() string { return fmt.Sprintf("log %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *LogFileError) Unwrap() error { return e.Cause }

// explainLogs prints the log lines about a request and the events around it that may
// explain its outcome: those of its host, its model and its upstreams. Errors are
// *LogFileError, *RequestNotLoggedError and those of the output.
func explainLogs(output io.Writer, request string, files []string) error {
	var lines []logLine
	for _, file := range files {
		more, err := readLog(file)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	selection := newLogSelection(lines, request)
	if !selection.found {
		return &RequestNotLoggedError{Request: request}
	}
	for _, line := range lines {
		if !selection.includes(&line) {
			continue
		}
		mark := "  "
		if line.Request == request {
			mark = "> "
		}
		if _, err := fmt.Fprintln(output, mark+line.text); err != nil {
			return err
		}
	}
	return nil
}

// readLog reads the JSON lines of a file, or of standard input for "-". Text before
// the first brace of a line, such as a log collector's timestamp, is skipped. Lines
// that are not JSON are ignored.
func readLog(file string) ([]logLine, error) {
	input := io.Reader(os.Stdin)
	if file != "-" {
		opened, err := os.Open(file)
		if err != nil {
			return nil, &LogFileError{File: file, Cause: err}
		}
		defer opened.Close()
		input = opened
	}
	var lines []logLine
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var line logLine
		if err := json.Unmarshal(scanner.Bytes()[start:], &line); err != nil || line.Message == "" {
			continue // not a log line of a gateway host
		}
		line.text = string(scanner.Bytes()[start:])
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, &LogFileError{File: file, Cause: err}
	}
	return lines, nil
}

// logSelection selects the lines to print.
type logSelection struct {
	request   string
	found     bool
	from, to  time.Time
	hosts     map[string]bool
	models    map[string]bool
	upstreams map[string]bool
}

func newLogSelection(lines []logLine, request string) *logSelection {
	s := &logSelection{request: request, hosts: map[string]bool{}, models: map[string]bool{}, upstreams: map[string]bool{}}
	for _, line := range lines {
		if line.Request != request {
			continue
		}
		started := line.Time.Add(-time.Duration(line.TookMS)*time.Millisecond - explainLookback)
		if !s.found || started.Before(s.from) {
			s.from = started
		}
		if line.Time.After(s.to) {
			s.to = line.Time
		}
		s.found = true
		s.hosts[line.Host] = true
		s.models[line.Model] = line.Model != ""
		s.upstreams[line.Upstream] = line.Upstream != ""
	}
	return s
}

func (s *logSelection) includes(line *logLine) bool {
	if line.Request != "" {
		return line.Request == s.request
	}
	if line.Time.Before(s.from) || line.Time.After(s.to) {
		return false
	}
	if s.models[line.Model] || s.models[line.Load] {
		return true
	}
	// Events of the host itself name no model. Events of an upstream are relevant
	// only if the request was sent to it.
	return s.hosts[line.Host] && line.Model == "" && line.Load == "" && (line.Upstream == "" || s.upstreams[line.Upstream])
}
