package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"reflect"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// maxDepth bounds the nesting of a document; the deepest valid value is at
// /workspaces/NAME/keys/ID/sha256.
const maxDepth = 16

// Decode reads a document strictly: unknown and repeated members, members in
// another case, nulls and values of the wrong type are refused, all of them in
// one *InvalidError. Comments and trailing commas are accepted. It does not
// call Validate.
func Decode(data []byte) (*Document, error) {
	doc, problems, err := decodeWithProblems(data)
	if err != nil {
		return nil, err
	}
	if err := problems.err(); err != nil {
		return nil, eris.Wrap(err, "decode")
	}
	return doc, nil
}

// decodeWithProblems returns the problems of the shape and, where these are
// only members that are not known, the document without them, so that its
// values can be validated too.
func decodeWithProblems(data []byte) (*Document, fieldErrors, error) {
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return nil, nil, syntaxError(err)
	}
	var problems fieldErrors
	tree, err := parseTree(standard, &problems)
	if err != nil {
		return nil, nil, syntaxError(err)
	}
	checkShape(tree, reflect.TypeFor[Document](), "", &problems)
	doc, err := decodeTrusted(standard)
	if err != nil && len(problems) > 0 {
		return nil, nil, eris.Wrap(problems.err(), "decode")
	}
	return doc, problems, err
}

// Parse reads and validates a document, as in a file with a bootstrap document.
// Every problem found is in one *InvalidError.
func Parse(data []byte) (*Document, error) {
	doc, problems, err := decodeWithProblems(data)
	if err != nil {
		return nil, err
	}
	problems = append(problems, Validate(doc)...)
	if err := problems.err(); err != nil {
		return nil, eris.Wrap(err, "validate")
	}
	return doc, nil
}

// decodeTrusted reads a document that was accepted before.
func decodeTrusted(data []byte) (*Document, error) {
	doc := &Document{}
	if err := json.Unmarshal(data, doc); err != nil {
		return nil, syntaxError(err)
	}
	return doc.normalized(), nil
}

func syntaxError(err error) error {
	var problems fieldErrors
	problems.add("", "not valid JSON: %v", err)
	return eris.Wrap(problems.err(), "decode")
}

// treeParser builds a JSON value and notes repeated members, which
// encoding/json would resolve silently in favour of the last.
type treeParser struct {
	decoder  *json.Decoder
	problems *fieldErrors
}

func parseTree(data []byte, problems *fieldErrors) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	parser := treeParser{decoder: decoder, problems: problems}
	value, err := parser.value("", 0)
	if err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &TrailingDataError{}
	}
	return value, nil
}

// TrailingDataError reports data after the end of a document.
type TrailingDataError struct{}

// Error implements error.
func (*TrailingDataError) Error() string { return "data after the end of the document" }

// DepthError reports a document nested too deeply.
type DepthError struct{ Pointer string }

// Error implements error.
func (e *DepthError) Error() string { return "nested too deeply at " + strconv.Quote(e.Pointer) }

func (p *treeParser) value(pointer string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, &DepthError{Pointer: pointer}
	}
	token, err := p.decoder.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return p.object(pointer, depth)
	case json.Delim('['):
		return p.array(pointer, depth)
	default:
		return token, nil
	}
}

func (p *treeParser) object(pointer string, depth int) (any, error) {
	members := map[string]any{}
	for p.decoder.More() {
		token, err := p.decoder.Token()
		if err != nil {
			return nil, err
		}
		name, _ := token.(string) // the decoder admits only strings here
		child := pointer + Pointer(name)
		if _, repeated := members[name]; repeated {
			p.problems.add(child, "member occurs more than once")
		}
		if members[name], err = p.value(child, depth+1); err != nil {
			return nil, err
		}
	}
	_, err := p.decoder.Token()
	return members, err
}

func (p *treeParser) array(pointer string, depth int) (any, error) {
	elements := []any{}
	for p.decoder.More() {
		element, err := p.value(pointer+"/"+strconv.Itoa(len(elements)), depth+1)
		if err != nil {
			return nil, err
		}
		elements = append(elements, element)
	}
	_, err := p.decoder.Token()
	return elements, err
}

// checkShape compares a JSON value with the Go type that it will be decoded
// into.
func checkShape(value any, want reflect.Type, pointer string, problems *fieldErrors) {
	switch want.Kind() {
	case reflect.Struct:
		checkStruct(value, want, pointer, problems)
	case reflect.Map:
		checkMap(value, want, pointer, problems)
	case reflect.Slice:
		checkSlice(value, want, pointer, problems)
	case reflect.String:
		if _, ok := value.(string); !ok {
			problems.add(pointer, "must be a string")
		}
	case reflect.Bool:
		if _, ok := value.(bool); !ok {
			problems.add(pointer, "must be true or false")
		}
	case reflect.Float64:
		if !isFloat(value) {
			problems.add(pointer, "must be a number")
		}
	default:
		if !isInteger(value) {
			problems.add(pointer, "must be an integer")
		}
	}
}

func checkStruct(value any, want reflect.Type, pointer string, problems *fieldErrors) {
	members, ok := value.(map[string]any)
	if !ok {
		problems.add(pointer, "must be an object")
		return
	}
	known := map[string]reflect.Type{}
	for i := range want.NumField() {
		name, _, _ := strings.Cut(want.Field(i).Tag.Get("json"), ",")
		known[name] = want.Field(i).Type
	}
	for _, name := range sortedKeys(members) {
		child := pointer + Pointer(name)
		if field, ok := known[name]; ok {
			checkShape(members[name], field, child, problems)
		} else {
			problems.add(child, "unknown member")
		}
	}
}

func checkMap(value any, want reflect.Type, pointer string, problems *fieldErrors) {
	members, ok := value.(map[string]any)
	if !ok {
		problems.add(pointer, "must be an object")
		return
	}
	for _, name := range sortedKeys(members) {
		checkShape(members[name], want.Elem(), pointer+Pointer(name), problems)
	}
}

func checkSlice(value any, want reflect.Type, pointer string, problems *fieldErrors) {
	elements, ok := value.([]any)
	if !ok {
		problems.add(pointer, "must be an array")
		return
	}
	for i, element := range elements {
		checkShape(element, want.Elem(), pointer+"/"+strconv.Itoa(i), problems)
	}
}

func isFloat(value any) bool {
	number, ok := value.(json.Number)
	if !ok {
		return false
	}
	f, err := number.Float64()
	return err == nil && !math.IsInf(f, 0)
}

func isInteger(value any) bool {
	number, ok := value.(json.Number)
	if !ok {
		return false
	}
	_, err := number.Int64()
	return err == nil
}
