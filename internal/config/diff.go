package config

import (
	"bytes"
	"encoding/json"
	"reflect"

	"github.com/rotisserie/eris"
)

// Change is one difference between two documents. A list of changes is a valid
// RFC 6902 patch from the first document to the second. Old is an additional
// member, which implementations of RFC 6902 ignore.
type Change struct {
	Op    string          `json:"op"` // add, remove or replace
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value,omitempty"`
	Old   json.RawMessage `json:"old,omitempty"`
}

// Diff returns the changes from document a to document b, sorted by path. An array
// that differs is replaced as a whole.
func Diff(a, b *Document) ([]Change, error) {
	before, err := a.tree()
	if err != nil {
		return nil, err
	}
	after, err := b.tree()
	if err != nil {
		return nil, err
	}
	changes := []Change{}
	diffValues("", before, after, &changes)
	return changes, nil
}

// tree returns the document as a generic JSON value.
func (d *Document) tree() (any, error) {
	data, err := d.Canonical()
	if err != nil {
		return nil, err
	}
	return decodeTree(data)
}

// decodeTree decodes JSON into a generic value. Numbers keep their text.
func decodeTree(data []byte) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, eris.Wrap(&EncodeError{Cause: err}, "generic form")
	}
	return value, nil
}

func diffValues(path string, before, after any, changes *[]Change) {
	old, oldIsObject := before.(map[string]any)
	current, newIsObject := after.(map[string]any)
	if oldIsObject && newIsObject {
		diffObjects(path, old, current, changes)
		return
	}
	if !reflect.DeepEqual(before, after) {
		*changes = append(*changes, Change{Op: "replace", Path: path, Value: rawJSON(after), Old: rawJSON(before)})
	}
}

func diffObjects(path string, before, after map[string]any, changes *[]Change) {
	names := map[string]bool{}
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	for _, name := range sortedKeys(names) {
		child := path + Pointer(name)
		old, inBefore := before[name]
		current, inAfter := after[name]
		switch {
		case !inAfter:
			*changes = append(*changes, Change{Op: "remove", Path: child, Old: rawJSON(old)})
		case !inBefore:
			*changes = append(*changes, Change{Op: "add", Path: child, Value: rawJSON(current)})
		default:
			diffValues(child, old, current, changes)
		}
	}
}

// rawJSON encodes a value that was decoded from JSON. Such values always encode.
func rawJSON(value any) json.RawMessage {
	data, _ := json.Marshal(value)
	return data
}
