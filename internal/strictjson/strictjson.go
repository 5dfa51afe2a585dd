// Package strictjson decodes JSON with comments and trailing commas into Go
// structs. It reports every unknown or duplicate field and every value of the
// wrong type, each by its JSON pointer (RFC 6901).
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

// Decode parses data, JSON with comments and trailing commas, into the struct
// that into points to. It returns all problems found; the struct is valid only
// if there are none.
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

// value decodes raw into target and recurses into structs, maps and slices.
func (d *decoder) value(raw json.RawMessage, target reflect.Value, pointer string) {
	if target.Type() == reflect.TypeFor[json.RawMessage]() {
		target.SetBytes(slices.Clone(raw))
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.structValue(raw, target, pointer)
	case reflect.Map:
		d.mapValue(raw, target, pointer)
	case reflect.Slice:
		d.sliceValue(raw, target, pointer)
	default:
		if err := json.Unmarshal(raw, target.Addr().Interface()); err != nil {
			d.report(pointer, "expected %s, found %s", typeName(target.Type()), truncate(raw))
		}
	}
}

func (d *decoder) structValue(raw json.RawMessage, target reflect.Value, pointer string) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(raw, &fields); err != nil || isNull(raw) {
		d.report(pointer, "expected an object, found %s", truncate(raw))
		return
	}
	for _, name := range duplicateNames(raw) {
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

func (d *decoder) mapValue(raw json.RawMessage, target reflect.Value, pointer string) {
	entries := map[string]json.RawMessage{}
	if err := json.Unmarshal(raw, &entries); err != nil {
		d.report(pointer, "expected an object, found %s", truncate(raw))
		return
	}
	for _, name := range duplicateNames(raw) {
		d.report(pointer+"/"+EscapeToken(name), "given more than once")
	}
	target.Set(reflect.MakeMapWithSize(target.Type(), len(entries)))
	for _, name := range sortedKeys(entries) {
		element := reflect.New(target.Type().Elem()).Elem()
		d.value(entries[name], element, pointer+"/"+EscapeToken(name))
		target.SetMapIndex(reflect.ValueOf(name), element)
	}
}

func (d *decoder) sliceValue(raw json.RawMessage, target reflect.Value, pointer string) {
	var elements []json.RawMessage
	if err := json.Unmarshal(raw, &elements); err != nil {
		d.report(pointer, "expected an array, found %s", truncate(raw))
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

// EscapeToken escapes a reference token for use in a JSON pointer (RFC 6901).
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

// duplicateNames returns the names that occur more than once in an object.
// encoding/json would silently use the last value.
func duplicateNames(raw json.RawMessage) []string {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if _, err := decoder.Token(); err != nil {
		return nil // the caller reports values that are not objects
	}
	seen := map[string]int{}
	var duplicates []string
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return duplicates
		}
		text, _ := name.(string) // member names are always strings
		seen[text]++
		if seen[text] == 2 {
			duplicates = append(duplicates, text)
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return duplicates
		}
	}
	return duplicates
}

func isNull(raw json.RawMessage) bool { return string(raw) == "null" }

// typeName returns the JSON name of a Go type for error messages.
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

// maxExcerptBytes bounds the length of an invalid value quoted in a message.
const maxExcerptBytes = 40

func truncate(raw json.RawMessage) string {
	text := strings.TrimSpace(string(raw))
	if len(text) > maxExcerptBytes {
		return text[:maxExcerptBytes] + "..."
	}
	return text
}
