package config

import (
	"path"
	"strconv"
	"strings"
	"time"
)

const (
	maxRouteTimeout = 24 * time.Hour
	wildcardSuffix  = "/*"
)

// routeMethods are the HTTP methods allowed for routes of plain services.
var routeMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

func (v *validator) services() {
	for _, name := range sortedKeys(v.doc.Services) {
		service, pointer := v.doc.Services[name], Pointer("services", name)
		v.name(pointer, name)
		v.oneOf(pointer+"/kind", service.Kind, ServiceEngine, ServicePlain)
		if service.Kind == ServiceEngine && len(service.Routes) > 0 {
			v.add(pointer+"/routes", "only plain services have routes")
		}
		for i, route := range service.Routes {
			v.route(pointer+"/routes/"+strconv.Itoa(i), route)
			v.routeReachable(pointer+"/routes/"+strconv.Itoa(i), service.Routes[:i], route)
		}
	}
}

func (v *validator) route(pointer string, r Route) {
	v.oneOf(pointer+"/method", r.Method, routeMethods...)
	v.routePath(pointer+"/path", r.Path)
	v.integer(pointer+"/timeout_ms", int64(r.TimeoutMS), 0, maxRouteTimeout.Milliseconds())
	v.integer(pointer+"/cost_tokens", int64(r.CostTokens), 0, maxTokensLimit)
	if r.Open {
		v.openAllowed(pointer+"/open", r)
	}
}

// routePath rejects paths that can never equal a cleaned request path, and wildcards
// other than a trailing "/*".
func (v *validator) routePath(pointer, routePath string) {
	fixed := strings.TrimSuffix(routePath, wildcardSuffix)
	clean := fixed == "" && routePath != "" || fixed != "" && fixed[0] == '/' && path.Clean(fixed) == fixed
	if !clean || strings.ContainsAny(fixed, "*?#%\\ \t\r\n") {
		v.add(pointer, "%q must start with '/', be clean, and have '*' only as a last '/*'", routePath)
	}
}

// openAllowed rejects open routes that need a workspace. Requests to open routes may
// have none, and both claims on idempotency keys and tokens belong to workspaces.
func (v *validator) openAllowed(pointer string, r Route) {
	if !r.Idempotent {
		v.add(pointer, "an open route must be idempotent, because claims belong to workspaces")
	}
	if r.CostTokens > 0 {
		v.add(pointer, "an open route cannot cost tokens, because tokens belong to workspaces")
	}
}

// routeReachable rejects a route if an earlier route matches all of its requests.
// Otherwise requests to a non-idempotent route after an idempotent "/*" would be
// treated as idempotent and retried.
func (v *validator) routeReachable(pointer string, earlier []Route, r Route) {
	for i, other := range earlier {
		if other.Method == r.Method && other.covers(r.Path) {
			v.add(pointer, "%s %s is already covered by route %d, %s", r.Method, r.Path, i, other.Path)
			return
		}
	}
}

// covers reports whether the route matches every path that other, a route path that
// may end in "/*", matches.
func (r Route) covers(other string) bool {
	if prefix, ok := strings.CutSuffix(other, wildcardSuffix); ok {
		ownPrefix, wildcard := strings.CutSuffix(r.Path, wildcardSuffix)
		return wildcard && (prefix == ownPrefix || strings.HasPrefix(prefix, ownPrefix+"/"))
	}
	return r.Matches(r.Method, other)
}

func (v *validator) openRoutes() {
	seen := map[OpenRoute]bool{}
	for i, open := range v.doc.OpenRoutes {
		pointer := "/open_routes/" + strconv.Itoa(i)
		if seen[open] {
			v.add(pointer, "listed twice")
		}
		seen[open] = true
		v.openRoute(pointer, open)
	}
}

func (v *validator) openRoute(pointer string, open OpenRoute) {
	service, ok := v.doc.Services[open.Service]
	if !ok || service.Kind != ServicePlain {
		v.serviceReference(pointer+"/service", open.Service, ServicePlain)
		return
	}
	covered := false
	for _, route := range service.Routes {
		if route.Method != open.Method {
			continue
		}
		if route.covers(open.Path) {
			v.openAllowed(pointer, route)
			covered = true
			break // later routes receive none of the path's requests
		}
		if (Route{Method: open.Method, Path: open.Path}).covers(route.Path) {
			v.openAllowed(pointer, route)
		}
	}
	if !covered {
		v.add(pointer, "service %q has no route for %s %s", open.Service, open.Method, open.Path)
	}
}
