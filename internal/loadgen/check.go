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
	maxResponseBytes = 64 << 20
	maxEventBytes    = 1 << 20
	streamEndMarker  = "[DONE]"
)

// WrongResponseError reports a response that is malformed, incomplete or does not
// match its request.
type WrongResponseError struct{ Detail string }

// Error implements error.
func (e *WrongResponseError) Error() string { return "wrong answer: " + e.Detail }

// TruncatedStreamError reports a response that ended before it was complete. A
// host that has to abort a stream ends it with an error event.
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

// checkComplete checks a non-streamed response and returns its number of tokens.
func checkComplete(body io.Reader, requestID string, request *engine.InferenceRequest) (int, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err != nil {
		return 0, &TruncatedStreamError{}
	}
	var completion engine.Chunk
	if err := json.Unmarshal(data, &completion); err != nil {
		return 0, &WrongResponseError{fmt.Sprintf("not JSON: %v", err)}
	}
	text := chunkText(&completion)
	return len(strings.Fields(text)), checkText(text, requestID, request, completion.Usage)
}

// stream accumulates a streamed response.
type stream struct {
	text        strings.Builder
	usage       *engine.Usage
	ended       bool
	errorEvent  string
	firstTextAt time.Time // arrival of the first text
}

// checkStream reads a stream to its end and checks it. It returns the arrival
// time of the first text and the number of tokens received.
func checkStream(body io.Reader, requestID string, request *engine.InferenceRequest) (time.Time, int, error) {
	var s stream
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	event := ""
	for scanner.Scan() && !s.ended {
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
		if err := s.handleEvent(event, data); err != nil {
			return s.firstTextAt, s.tokens(), err
		}
	}
	return s.firstTextAt, s.tokens(), s.check(requestID, request)
}

func (s *stream) tokens() int { return len(strings.Fields(s.text.String())) }

func (s *stream) handleEvent(event, data string) error {
	if data == streamEndMarker {
		s.ended = true
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
		if s.firstTextAt.IsZero() {
			s.firstTextAt = time.Now()
		}
		s.text.WriteString(text)
	}
	if chunk.Usage != nil {
		s.usage = chunk.Usage
	}
	return nil
}

func (s *stream) check(requestID string, request *engine.InferenceRequest) error {
	text := s.text.String()
	if s.ended && s.errorEvent == "" {
		return checkText(text, requestID, request, s.usage)
	}
	if s.ended {
		return &WrongResponseError{"an error event and a closing event"}
	}
	if !strings.HasPrefix(standin.ExpectedCompletion(requestID, request), text) {
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

func checkText(text, requestID string, request *engine.InferenceRequest, usage *engine.Usage) error {
	expected := standin.ExpectedCompletion(requestID, request)
	if text != expected {
		return &WrongResponseError{fmt.Sprintf("%d bytes in place of %d, or other text", len(text), len(expected))}
	}
	if usage == nil || usage.CompletionTokens != len(strings.Fields(expected)) {
		return &WrongResponseError{"no usage, or another count"}
	}
	return nil
}

// checkCall checks that the plain service echoed the call.
func checkCall(body io.Reader, arrival *Arrival) error {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err != nil {
		return &TruncatedStreamError{}
	}
	var echo service.Response
	if err := json.Unmarshal(data, &echo); err != nil {
		return &WrongResponseError{fmt.Sprintf("not JSON: %v", err)}
	}
	if echo.Body != arrival.Body || echo.Path != arrival.Path || echo.Method != arrival.Method {
		return &WrongResponseError{"the echo of another call"}
	}
	return nil
}

// isWrongResponse reports whether err is a *WrongResponseError.
func isWrongResponse(err error) bool {
	var wrong *WrongResponseError
	return errors.As(err, &wrong)
}
