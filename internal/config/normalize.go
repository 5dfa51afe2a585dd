package config

import (
	"maps"
	"slices"
)

// normalized returns the document with empty collections in place of nil ones, so
// that equal documents have equal canonical forms and a patch can always add to a
// collection. It does not modify the receiver.
func (d *Document) normalized() *Document {
	n := *d
	n.Hosts = mapValues(d.Hosts, func(h Host) (Host, bool) {
		absent := h.Slots == nil
		h.Slots = nonNilSlice(h.Slots)
		return h, absent
	})
	n.Workspaces = mapValues(d.Workspaces, normalizedWorkspace)
	n.StoppedHosts = nonNilSlice(d.StoppedHosts)
	n.Services = nonNilMap(d.Services)
	n.Models = nonNilMap(d.Models)
	n.Adapters = nonNilMap(d.Adapters)
	n.OpenRoutes = nonNilSlice(d.OpenRoutes)
	n.Operators = nonNilMap(d.Operators)
	return &n
}

func normalizedWorkspace(w Workspace) (Workspace, bool) {
	absent := w.Models == nil || w.Services == nil || w.Keys == nil
	w.Models = nonNilSlice(w.Models)
	w.Services = nonNilSlice(w.Services)
	w.Keys = nonNilMap(w.Keys)
	return w, absent
}

// mapValues returns m with the values that change returns, where change reports
// true. It copies m only if at least one value is replaced.
func mapValues[V any](m map[string]V, change func(V) (V, bool)) map[string]V {
	result := nonNilMap(m)
	copied := false
	for name, value := range m {
		changed, ok := change(value)
		if !ok {
			continue
		}
		if !copied {
			result, copied = maps.Clone(m), true
		}
		result[name] = changed
	}
	return result
}

func nonNilMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return m
}

func nonNilSlice[V any](s []V) []V {
	if s == nil {
		return []V{}
	}
	return s
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
