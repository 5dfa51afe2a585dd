package caller

import (
	"bytes"
	"context"

	"github.com/arbutusbank/arbutusbank/internal/inference"
	"github.com/arbutusbank/arbutusbank/internal/intake"
	"github.com/arbutusbank/arbutusbank/internal/problem"
)

// chatPath is the path of chat requests. All other model requests have a prompt.
const chatPath = "/v1/chat/completions"

// serveInference handles a model request.
func (rs *requestState) serveInference() *problem.Error {
	if refusal := rs.authenticate(); refusal != nil {
		return refusal
	}
	request, refusal := rs.parseRequest()
	if refusal != nil {
		return refusal
	}
	ctx, stop, refusal := rs.requestContext(request.Deadline)
	if refusal != nil {
		return refusal
	}
	defer stop()
	return rs.runInference(ctx, request)
}

// runInference runs a model request. If it fails after the response has started,
// the stream ends with an error event.
func (rs *requestState) runInference(ctx context.Context, request *inference.Request) *problem.Error {
	sink := newResponseSink(rs.w)
	refusal := contextRefusal(ctx, rs.h.options.Inference.Run(ctx, request, sink))
	rs.responseStarted = sink.Started()
	if refusal != nil && sink.Started() {
		sink.fail(refusal.Document(rs.id, rs.version()))
	}
	return refusal
}

// parseRequest reads the body and validates it against the configuration.
func (rs *requestState) parseRequest() (*inference.Request, *problem.Error) {
	document := rs.snapshot.Document
	deadline, refusal := deadlineOf(rs.r, rs.arrived, document.Defaults)
	if refusal != nil {
		return nil, refusal
	}
	body, refusal := rs.readBody(document.Defaults.MaxBodyBytes)
	if refusal != nil {
		return nil, refusal
	}
	if err := intake.Of(rs.r.Context()).Reserve(rs.r.Context(), parsedCopies*int64(len(body))); err != nil {
		return nil, noMemory(err)
	}
	if bytes.Contains(body, []byte(presentedKey(rs.r))) {
		return nil, problem.New(problem.BadRequest, "the body contains the caller's key, which must not reach an upstream")
	}
	parsed, refusal := parseInference(body, rs.r.URL.Path == chatPath, document.Defaults)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := rs.checkModel(parsed); refusal != nil {
		return nil, refusal
	}
	rs.record.Target = parsed.model
	if parsed.adapter != "" {
		rs.record.Target += ":" + parsed.adapter
	}
	return &inference.Request{
		ID: rs.id, Workspace: rs.identity.Workspace,
		Model: parsed.model, Adapter: parsed.adapter,
		Path: rs.r.URL.Path, Body: parsed.body, Prompt: parsed.prompt,
		Segments:     segmentKeys(rs.identity.Workspace, parsed.shared),
		PromptTokens: parsed.promptTokens(), MaxTokens: parsed.maxTokens, Stream: parsed.stream,
		Priority: priorityOf(rs.r, rs.workspace()), Deadline: deadline,
		Config: rs.snapshot, Record: rs.record,
	}, nil
}

// checkModel checks that the model and adapter exist and that the workspace
// may use them.
func (rs *requestState) checkModel(parsed parsedInference) *problem.Error {
	document := rs.snapshot.Document
	if _, ok := document.Models[parsed.model]; !ok {
		return problem.New(problem.UnknownModel, "model %q does not exist", parsed.model)
	}
	if parsed.adapter != "" {
		adapter, ok := document.Adapters[parsed.adapter]
		if !ok || adapter.Model != parsed.model {
			return problem.New(problem.UnknownModel, "model %q has no adapter %q", parsed.model, parsed.adapter)
		}
	}
	if !rs.workspace().MayUseModel(parsed.model) {
		return problem.New(problem.Forbidden, "workspace %q may not use model %q", rs.identity.Workspace, parsed.model)
	}
	return nil
}
