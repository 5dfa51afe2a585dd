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

// maxDepth bounds the nesting of a document. The deepest valid value, at
// /workspaces/NAME/keys/ID/sha256, is at depth 5.
const maxDepth = 16

// Decode parses a document. Comments and trailing commas are accepted. Unknown and
// duplicate members, member names in different case, nulls and values of the wrong
// type are rejected, all together in one *InvalidError. Decode does not call
// Validate.
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

// decodeWithProblems parses a document and returns the schema problems found. If
// these are only unknown members, it also returns the document without them, so
// that the caller can validate its values and report all problems together.
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
	checkSchema(tree, reflect.TypeFor[Document](), "", &problems)
	doc, err := decodeTrusted(standard)
	if err != nil && len(problems) > 0 {
		return nil, nil, eris.Wrap(problems.err(), "decode")
	}
	return doc, problems, err
}

// Parse decodes and validates a document, such as a bootstrap file. It returns all
// problems found in one *InvalidError.
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

// decodeTrusted decodes a document that was validated when it was accepted.
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

// treeParser decodes JSON into a generic value and reports duplicate members, of
// which encoding/json would silently use the last.
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

// DepthError reports a document nested more than maxDepth levels deep.
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
		name, _ := token.(string) // the decoder accepts only strings here
		child := pointer + Pointer(name)
		if _, duplicate := members[name]; duplicate {
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

// checkSchema checks that a JSON value can be decoded into a Go type without loss.
func checkSchema(value any, want reflect.Type, pointer string, problems *fieldErrors) {
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
			checkSchema(members[name], field, child, problems)
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
		checkSchema(members[name], want.Elem(), pointer+Pointer(name), problems)
	}
}

func checkSlice(value any, want reflect.Type, pointer string, problems *fieldErrors) {
	elements, ok := value.([]any)
	if !ok {
		problems.add(pointer, "must be an array")
		return
	}
	for i, element := range elements {
		checkSchema(element, want.Elem(), pointer+"/"+strconv.Itoa(i), problems)
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
