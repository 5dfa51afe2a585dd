package caller

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/problem"
	"github.com/arbutusbank/arbutusbank/internal/service"
)

// serveService handles a call to a plain service.
func (rs *requestState) serveService() *problem.Error {
	name, path := rs.params.ByName("service"), rs.params.ByName("path")
	target, open, refusal := rs.resolveRoute(name, path)
	if refusal != nil {
		return refusal
	}
	rs.record.Target = name + " " + rs.r.Method + " " + path
	if refusal := rs.authorizeService(name, open); refusal != nil {
		return refusal
	}
	call, refusal := rs.newCall(name, path, target)
	if refusal != nil {
		return refusal
	}
	ctx, stop, refusal := rs.callContext(call, open)
	if refusal != nil {
		return refusal
	}
	defer stop()
	response, refusal := rs.h.options.Services.Run(ctx, call)
	if refusal != nil {
		return contextRefusal(ctx, refusal)
	}
	rs.writeResponse(response)
	return nil
}

// resolveRoute returns the route of a call and whether it is open, so that callers
// need no key.
func (rs *requestState) resolveRoute(name, path string) (config.Route, bool, *problem.Error) {
	document := rs.snapshot.Document
	target, ok := document.Services[name]
	if !ok || target.Kind != config.ServicePlain {
		return config.Route{}, false, problem.New(problem.UnknownRoute, "service %q does not exist", name)
	}
	for _, candidate := range target.Routes {
		if candidate.Matches(rs.r.Method, path) {
			return candidate, candidate.Open || isOpen(document, name, candidate), nil
		}
	}
	return config.Route{}, false, problem.New(problem.UnknownRoute, "service %q has no route %s %s", name, rs.r.Method, path)
}

// isOpen reports whether the configuration's list of open routes has the route.
func isOpen(document *config.Document, name string, target config.Route) bool {
	for _, open := range document.OpenRoutes {
		if open.Service == name && open.Method == target.Method && open.Path == target.Path {
			return true
		}
	}
	return false
}

// authorizeService authenticates the caller and checks that the workspace may call
// the service, unless the route is open.
func (rs *requestState) authorizeService(name string, open bool) *problem.Error {
	if open {
		return nil
	}
	if refusal := rs.authenticate(); refusal != nil {
		return refusal
	}
	if !rs.workspace().MayUseService(name) {
		return problem.New(problem.Forbidden, "workspace %q may not call service %q", rs.identity.Workspace, name)
	}
	return nil
}

// callContext is requestContext for calls to plain services. On open routes, there
// is no key to watch.
func (rs *requestState) callContext(call *service.Call, open bool) (context.Context, func(), *problem.Error) {
	if !open {
		return rs.requestContext(call.Deadline)
	}
	ctx, cancel := context.WithDeadline(rs.r.Context(), call.Deadline)
	return ctx, cancel, nil
}

// newCall reads the body and builds the call for the worker. It removes the headers
// and query parameters that must not reach a worker, and refuses a call whose
// path, body or idempotency key contains a caller's key.
func (rs *requestState) newCall(name, path string, target config.Route) (*service.Call, *problem.Error) {
	defaults := rs.snapshot.Document.Defaults
	deadline, refusal := deadlineOf(rs.r, rs.arrived, defaults)
	if refusal != nil {
		return nil, refusal
	}
	idempotencyKey := rs.r.Header.Get(HeaderIdempotencyKey)
	if len(idempotencyKey) > maxIdempotencyKeyBytes {
		return nil, problem.New(problem.BadRequest, "header %s may have at most %d bytes", HeaderIdempotencyKey, maxIdempotencyKeyBytes)
	}
	body, refusal := rs.readBody(defaults.MaxBodyBytes)
	if refusal != nil {
		return nil, refusal
	}
	filter := newKeyFilter(rs.snapshot, presentedKey(rs.r))
	if filter.containsKey(path) || filter.containsKey(idempotencyKey) || filter.containsPresentedKey(body) {
		return nil, problem.New(problem.BadRequest, "the path, body or idempotency key contains a caller's key, which must not reach an upstream")
	}
	return &service.Call{
		ID: rs.id, Workspace: rs.identity.Workspace, Service: name, Route: target,
		Method: rs.r.Method, Path: path,
		Query: filter.query(rs.r.URL.Query()), Header: filter.header(rs.r), Body: body,
		IdempotencyKey: idempotencyKey, Priority: priorityOf(rs.r, rs.workspace()), Deadline: deadline,
		Config: rs.snapshot, Record: rs.record,
	}, nil
}

// droppedResponseHeaders are the hop-by-hop headers and those that this host sets.
var droppedResponseHeaders = []string{
	"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Content-Length",
	HeaderRequestID, HeaderConfigVersion,
}

// writeResponse writes a worker's response to the caller.
func (rs *requestState) writeResponse(response *service.Response) {
	rs.responseStarted = true
	header := rs.w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	for _, name := range droppedResponseHeaders {
		header.Del(name)
	}
	header.Set(HeaderRequestID, rs.id)
	header.Set(HeaderConfigVersion, strconv.FormatUint(rs.version(), 10))
	header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	rs.w.WriteHeader(response.Status)
	_, _ = rs.w.Write(response.Body) // a failed write means that the caller has disconnected
}

// keyFilter removes callers' keys from headers and query parameters that are sent
// to an upstream. presented is the key of the request, "" if it has none.
type keyFilter struct {
	snapshot  *config.Snapshot
	presented string
}

func newKeyFilter(snapshot *config.Snapshot, presented string) keyFilter {
	return keyFilter{snapshot: snapshot, presented: presented}
}

// containsKey reports whether a value contains the presented key, or whether the
// value or one of its parts (see isSeparator) is a key of any workspace.
func (f keyFilter) containsKey(value string) bool {
	if f.presented != "" && strings.Contains(value, f.presented) {
		return true
	}
	for _, part := range strings.FieldsFunc(value, isSeparator) {
		if len(part) < minKeyBytes {
			continue
		}
		if _, ok := f.snapshot.LookupKey(part); ok {
			return true
		}
	}
	return false
}

// minKeyBytes is the length in bytes below which a value cannot be a key.
const minKeyBytes = 8

// isSeparator reports whether a character separates the parts of a header, cookie or
// path in which a key may occur.
func isSeparator(r rune) bool { return strings.ContainsRune(" \t,;=/&\"'", r) }

func (f keyFilter) containsPresentedKey(body []byte) bool {
	return f.presented != "" && bytes.Contains(body, []byte(f.presented))
}

// droppedRequestHeaders are the headers that are hop-by-hop, carry credentials, or
// are replaced by this host.
var droppedRequestHeaders = []string{
	"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key",
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Host", "Expect", HeaderIdempotencyKey, HeaderRequestID, HeaderDeadlineMS,
}

// header returns the headers that may be sent to a worker.
func (f keyFilter) header(r *http.Request) http.Header {
	header := r.Header.Clone()
	for _, field := range strings.Split(r.Header.Get("Connection"), ",") {
		header.Del(strings.TrimSpace(field))
	}
	for _, name := range droppedRequestHeaders {
		header.Del(name)
	}
	for name, values := range header {
		for _, value := range values {
			if f.containsKey(value) || f.containsKey(name) {
				delete(header, name)
			}
		}
	}
	return header
}

// query returns the query parameters that may be sent to a worker. It modifies
// values.
func (f keyFilter) query(values map[string][]string) map[string][]string {
	for name, list := range values {
		for _, value := range list {
			if f.containsKey(value) || f.containsKey(name) {
				delete(values, name)
			}
		}
	}
	return values
}
