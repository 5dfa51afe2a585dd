package catalog

import (
	"testing"
	"time"
)

func TestLongestPrefixMatches(t *testing.T) {
	routes := []*Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"}, {Name: "long", Host: "A.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}
	config := NewConfig(1, routes, nil, Limits{})
	for path, want := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/y/z/1": "long", "/x/y": "short", "/y/": ""} {
		got := ""
		if route := config.Match("a.example:80", path); route != nil {
			got = route.Name
		}
		if got != want {
			t.Errorf("%s: route %q, want %q", path, got, want)
		}
	}
}

func TestTargetsFollowTheirWeights(t *testing.T) {
	route := &Route{Targets: []Target{{"a", 90}, {"b", 10}}}
	for draw, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.999: "b"} {
		if got := route.Target(draw); got != want {
			t.Errorf("draw %v: %s, want %s", draw, got, want)
		}
	}
}

func TestCallerTimeout(t *testing.T) {
	stream := &Route{Kind: Stream, Timeout: 20 * time.Second, Objective: 2500 * time.Millisecond, Pause: 250 * time.Millisecond}
	if got := stream.CallerTimeout(); got != 10*time.Second {
		t.Errorf("caller timeout %v, want four objectives", got)
	}
	quick := &Route{Kind: Stream, Timeout: 20 * time.Second, Objective: 300 * time.Millisecond, Pause: 200 * time.Millisecond}
	if got := quick.CallerTimeout(); got != 2*time.Second {
		t.Errorf("caller timeout %v, want 2 s", got)
	}
	unary := &Route{Kind: Unsafe, Timeout: time.Second}
	if got := unary.CallerTimeout(); got != time.Second {
		t.Errorf("caller timeout %v, want the route timeout", got)
	}
}
