package loadgen

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/engine"
	standin "github.com/arbutusbank/arbutusbank/internal/standin/engine"
	"github.com/arbutusbank/arbutusbank/internal/standin/service"
)

const (
	maxAnswerBytes = 64 << 20
	maxEventBytes  = 1 << 20
	streamEnd      = "[DONE]"
)

// WrongResponseError reports an answer that is not the whole answer to its own
// request.
type WrongResponseError struct{ Detail string }

// Error implements error.
func (e *WrongResponseError) Error() string { return "wrong answer: " + e.Detail }

// TruncatedStreamError reports a stream that ended before the answer was complete.
// A stream that was cut honestly ends with an error event.
type TruncatedStreamError struct {
	ErrorEvent string // data of the error event; empty if there was none
	Tokens     int
}

// Error implements error.
func (e *TruncatedStreamError) Error() string {
	if e.ErrorEvent == "" {
		return fmt.Sprintf("stream cut after %d tokens without an error event", e.Tokens)
	}
	return fmt.Sprintf("stream cut after %d tokens: %s", e.Tokens, e.ErrorEvent)
}

// checkWhole checks a unary answer and returns its number of tokens.
func checkWhole(body io.Reader, requestID string, request *engine.InferenceRequest) (int, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return 0, &TruncatedStreamError{}
	}
	var answer engine.Chunk
	if err := json.Unmarshal(data, &answer); err != nil {
		return 0, &WrongResponseError{fmt.Sprintf("not JSON: %v", err)}
	}
	text := chunkText(&answer)
	return len(strings.Fields(text)), compare(text, requestID, request, answer.Usage)
}

// stream is the state of a streamed answer being read.
type stream struct {
	text       strings.Builder
	usage      *engine.Usage
	done       bool
	errorEvent string
	first      time.Time // of the first text
}

// checkStream reads a stream to its end and checks it. It returns when the
// first text arrived and the number of tokens received.
func checkStream(body io.Reader, requestID string, request *engine.InferenceRequest) (time.Time, int, error) {
	var s stream
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	event := ""
	for scanner.Scan() && !s.done {
		line := scanner.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			event = ""
			continue
		}
		if err := s.event(event, data); err != nil {
			return s.first, s.tokens(), err
		}
	}
	return s.first, s.tokens(), s.verdict(requestID, request)
}

func (s *stream) tokens() int { return len(strings.Fields(s.text.String())) }

func (s *stream) event(event, data string) error {
	if data == streamEnd {
		s.done = true
		return nil
	}
	if event == "error" || strings.HasPrefix(data, `{"error"`) {
		s.errorEvent = data
		return nil
	}
	var chunk engine.Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return &WrongResponseError{fmt.Sprintf("event is not JSON: %v", err)}
	}
	if text := chunkText(&chunk); text != "" {
		if s.first.IsZero() {
			s.first = time.Now()
		}
		s.text.WriteString(text)
	}
	if chunk.Usage != nil {
		s.usage = chunk.Usage
	}
	return nil
}

func (s *stream) verdict(requestID string, request *engine.InferenceRequest) error {
	text := s.text.String()
	if s.done && s.errorEvent == "" {
		return compare(text, requestID, request, s.usage)
	}
	if s.done {
		return &WrongResponseError{"an error event and a closing event"}
	}
	if !strings.HasPrefix(standin.ExpectedAnswer(requestID, request), text) {
		return &WrongResponseError{"the cut stream holds another answer"}
	}
	return &TruncatedStreamError{ErrorEvent: s.errorEvent, Tokens: s.tokens()}
}

func chunkText(chunk *engine.Chunk) string {
	var text strings.Builder
	for _, choice := range chunk.Choices {
		if choice.Delta != nil {
			text.WriteString(choice.Delta.Content)
		}
		if choice.Message != nil {
			text.WriteString(choice.Message.Content)
		}
		text.WriteString(choice.Text)
	}
	return text.String()
}

func compare(text, requestID string, request *engine.InferenceRequest, usage *engine.Usage) error {
	expected := standin.ExpectedAnswer(requestID, request)
	if text != expected {
		return &WrongResponseError{fmt.Sprintf("%d bytes in place of %d, or other text", len(text), len(expected))}
	}
	if usage == nil || usage.CompletionTokens != len(strings.Fields(expected)) {
		return &WrongResponseError{"no usage, or another count"}
	}
	return nil
}

// checkCall checks the echo of a plain service.
func checkCall(body io.Reader, arrival *Arrival) error {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return &TruncatedStreamError{}
	}
	var answer service.Answer
	if err := json.Unmarshal(data, &answer); err != nil {
		return &WrongResponseError{fmt.Sprintf("not JSON: %v", err)}
	}
	if answer.Body != arrival.Body || answer.Path != arrival.Path || answer.Method != arrival.Method {
		return &WrongResponseError{"the echo of another call"}
	}
	return nil
}

// isWrong reports whether an error is a *WrongAnswerError.
func isWrong(err error) bool {
	var wrong *WrongResponseError
	return errors.As(err, &wrong)
}
