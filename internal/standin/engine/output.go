package engine

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/standin/upstream"
)

// Finish reasons of a completion.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// output writes one response, either as a stream of server-sent events or as
// one JSON body.
type output struct {
	w       http.ResponseWriter
	flusher http.Flusher
	run     *run
	started bool            // the header of the stream was sent
	text    strings.Builder // of a response that is not streamed
}

func newOutput(w http.ResponseWriter, current *run) *output {
	flusher, _ := w.(http.Flusher) // net/http always provides it
	return &output{w: w, flusher: flusher, run: current}
}

// begin sends the response header of a stream.
func (o *output) begin() {
	if !o.run.request.Stream {
		return
	}
	o.started = true
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.WriteHeader(http.StatusOK)
	o.flusher.Flush()
}

func (o *output) writeToken(text string) {
	if !o.run.request.Stream {
		o.text.WriteString(text)
		return
	}
	o.writeEvent(o.chunk(text, nil, nil))
}

// end completes the response after the last token.
func (o *output) end(tokens int, limited bool) {
	reason := finishStop
	if limited {
		reason = finishLength
	}
	prompt := PromptTokens(o.run.prompt)
	usage := &engine.Usage{PromptTokens: prompt, CompletionTokens: tokens, TotalTokens: prompt + tokens}
	if o.run.request.Stream {
		o.writeEvent(o.chunk("", &reason, usage))
		o.write("data: [DONE]\n\n")
		return
	}
	upstream.WriteJSON(o.w, http.StatusOK, o.response(reason, usage))
}

// fail ends an incomplete response: with an error event and without the final
// [DONE] when the stream has started, otherwise with an error status.
func (o *output) fail(outcome string) {
	if outcome == OutcomeCrashed || outcome == OutcomeDisconnected {
		return
	}
	reason, status := ReasonCancelled, http.StatusConflict
	if outcome == OutcomeTimeout {
		reason, status = ReasonTimeout, http.StatusGatewayTimeout
	}
	if !o.started {
		upstream.WriteJSON(o.w, status, reasonBody{Reason: reason})
		return
	}
	body, err := json.Marshal(map[string]reasonBody{"error": {Reason: reason}})
	if err == nil {
		o.write("event: error\ndata: " + string(body) + "\n\n")
	}
}

func (o *output) chunk(text string, finish *string, usage *engine.Usage) engine.Chunk {
	choice := engine.Choice{FinishReason: finish}
	object := "text_completion"
	if o.run.chat {
		object = "chat.completion.chunk"
		choice.Delta = &engine.Message{Role: "assistant", Content: text}
	} else {
		choice.Text = text
	}
	return engine.Chunk{
		ID: "cmpl-" + o.run.id, Object: object, Model: o.run.request.Model,
		Choices: []engine.Choice{choice}, Usage: usage,
	}
}

func (o *output) response(finish string, usage *engine.Usage) engine.Chunk {
	response := o.chunk("", &finish, usage)
	if o.run.chat {
		response.Object = "chat.completion"
		response.Choices[0].Delta = nil
		response.Choices[0].Message = &engine.Message{Role: "assistant", Content: o.text.String()}
		return response
	}
	response.Choices[0].Text = o.text.String()
	return response
}

func (o *output) writeEvent(chunk engine.Chunk) {
	body, err := json.Marshal(chunk)
	if err != nil {
		return
	}
	o.write("data: " + string(body) + "\n\n")
}

func (o *output) write(text string) {
	_, _ = o.w.Write([]byte(text)) // a failed write means that the client has disconnected
	o.flusher.Flush()
}
