// Package strictjson decodes JSON with comments strictly: it reports every
// unknown field and every value of a wrong type at once, by JSON pointer.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/arbutusbank/arbutusbank/internal/problem"
)

// Decode parses JSON with comments and trailing commas into a pointer to a
// struct. It returns the problems found; into holds a usable value only when
// there are none.
func Decode(data []byte, into any) []problem.FieldError {
	standard, err := hujson.Standardize(data)
	if err != nil {
		return []problem.FieldError{{Pointer: "", Reason: err.Error()}}
	}
	d := decoder{}
	d.value(standard, reflect.ValueOf(into).Elem(), "")
	return d.problems
}

type decoder struct {
	problems []problem.FieldError
}

func (d *decoder) report(pointer, format string, args ...any) {
	d.problems = append(d.problems, problem.FieldError{Pointer: pointer, Reason: fmt.Sprintf(format, args...)})
}

// value decodes raw into target, descending into structs, maps and slices.
func (d *decoder) value(raw json.RawMessage, target reflect.Value, pointer string) {
	if target.Type() == reflect.TypeFor[json.RawMessage]() {
		target.SetBytes(slices.Clone(raw))
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.object(raw, target, pointer)
	case reflect.Map:
		d.mapping(raw, target, pointer)
	case reflect.Slice:
		d.list(raw, target, pointer)
	default:
		if err := json.Unmarshal(raw, target.Addr().Interface()); err != nil {
			d.report(pointer, "expected %s, found %s", typeName(target.Type()), abbreviate(raw))
		}
	}
}

func (d *decoder) object(raw json.RawMessage, target reflect.Value, pointer string) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(raw, &fields); err != nil || isNull(raw) {
		d.report(pointer, "expected an object, found %s", abbreviate(raw))
		return
	}
	for _, name := range repeatedNames(raw) {
		d.report(pointer+"/"+EscapeToken(name), "given more than once")
	}
	for _, name := range sortedKeys(fields) {
		field, ok := fieldByName(target, name)
		if !ok {
			d.report(pointer+"/"+EscapeToken(name), "unknown field")
			continue
		}
		d.value(fields[name], field, pointer+"/"+EscapeToken(name))
	}
}

func (d *decoder) mapping(raw json.RawMessage, target reflect.Value, pointer string) {
	entries := map[string]json.RawMessage{}
	if err := json.Unmarshal(raw, &entries); err != nil {
		d.report(pointer, "expected an object, found %s", abbreviate(raw))
		return
	}
	for _, name := range repeatedNames(raw) {
		d.report(pointer+"/"+EscapeToken(name), "given more than once")
	}
	target.Set(reflect.MakeMapWithSize(target.Type(), len(entries)))
	for _, name := range sortedKeys(entries) {
		element := reflect.New(target.Type().Elem()).Elem()
		d.value(entries[name], element, pointer+"/"+EscapeToken(name))
		target.SetMapIndex(reflect.ValueOf(name), element)
	}
}

func (d *decoder) list(raw json.RawMessage, target reflect.Value, pointer string) {
	var elements []json.RawMessage
	if err := json.Unmarshal(raw, &elements); err != nil {
		d.report(pointer, "expected an array, found %s", abbreviate(raw))
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(elements), len(elements)))
	for i, element := range elements {
		d.value(element, target.Index(i), fmt.Sprintf("%s/%d", pointer, i))
	}
}

func fieldByName(target reflect.Value, name string) (reflect.Value, bool) {
	for i := range target.NumField() {
		tag, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("json"), ",")
		if tag == name {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// EscapeToken encodes a reference token of a JSON pointer (RFC 6901).
func EscapeToken(token string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(token)
}

func sortedKeys(m map[string]json.RawMessage) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// repeatedNames returns the members that an object names more than once;
// encoding/json would take the last of them.
func repeatedNames(raw json.RawMessage) []string {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if _, err := decoder.Token(); err != nil {
		return nil // the caller reports what is no object
	}
	seen := map[string]int{}
	var repeated []string
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return repeated
		}
		text, _ := name.(string) // names are strings
		seen[text]++
		if seen[text] == 2 {
			repeated = append(repeated, text)
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return repeated
		}
	}
	return repeated
}

func isNull(raw json.RawMessage) bool { return string(raw) == "null" }

// typeName names a Go type as JSON users know it.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "a boolean"
	case reflect.String:
		return "a string"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64,
		reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "an integer"
	default:
		return t.String()
	}
}

// maxExcerpt bounds the length of an offending value in a message.
const maxExcerpt = 40

func abbreviate(raw json.RawMessage) string {
	text := strings.TrimSpace(string(raw))
	if len(text) > maxExcerpt {
		return text[:maxExcerpt] + "..."
	}
	return text
}
