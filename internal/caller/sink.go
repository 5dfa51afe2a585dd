package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/problem"
)

// writeTimeout bounds one write of a stream, in case the caller does not read the
// response.
const writeTimeout = 15 * time.Second

var (
	eventPrefix = []byte("data: ")
	eventEnd    = []byte("\n\n")
	doneEvent   = []byte("data: [DONE]\n\n")
)

// responseSink writes the response of a model request to the caller. It implements
// inference.Sink.
type responseSink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	started    bool
	buffer     []byte // reused for events
}

func newResponseSink(w http.ResponseWriter) *responseSink {
	return &responseSink{w: w, controller: http.NewResponseController(w)}
}

// Started implements inference.Sink.
func (s *responseSink) Started() bool { return s.started }

// Body implements inference.Sink.
func (s *responseSink) Body(contentType string, body []byte) error {
	s.started = true
	header := s.w.Header()
	header.Set("Content-Type", contentType)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_, err := s.w.Write(body)
	return err
}

// Event implements inference.Sink.
func (s *responseSink) Event(payload []byte) error {
	s.start()
	s.buffer = append(s.buffer[:0], eventPrefix...)
	s.buffer = append(s.buffer, payload...)
	s.buffer = append(s.buffer, eventEnd...)
	return s.flush(s.buffer)
}

// Done implements inference.Sink.
func (s *responseSink) Done() error {
	s.start()
	return s.flush(doneEvent)
}

// fail ends a started stream with an error event instead of [DONE].
func (s *responseSink) fail(document problem.Document) {
	payload, err := json.Marshal(document)
	if err != nil {
		return
	}
	event := append([]byte("event: error\ndata: "), payload...)
	_ = s.flush(append(event, eventEnd...)) // a failed write means that the caller has disconnected
}

// start sets the headers of a stream before its first event.
func (s *responseSink) start() {
	if s.started {
		return
	}
	s.started = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
}

// flush writes data and sends it at once.
func (s *responseSink) flush(data []byte) error {
	// Not every ResponseWriter supports write deadlines; without one, the request's
	// deadline applies.
	_ = s.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return s.controller.Flush()
}
