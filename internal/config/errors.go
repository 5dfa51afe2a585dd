package config

import (
	"fmt"
	"strings"

	"github.com/arbutusbank/arbutusbank/internal/problem"
)

// InvalidError reports all problems of a document or a patch, each by the JSON
// pointer of the value concerned.
type InvalidError struct{ Fields []problem.FieldError }

// Error implements error.
func (e *InvalidError) Error() string {
	parts := make([]string, 0, len(e.Fields))
	for _, field := range e.Fields {
		parts = append(parts, fmt.Sprintf("%q: %s", field.Pointer, field.Reason))
	}
	return "invalid configuration: " + strings.Join(parts, "; ")
}

// PointerError reports a malformed JSON pointer.
type PointerError struct{ Pointer string }

// Error implements error.
func (e *PointerError) Error() string { return fmt.Sprintf("malformed JSON pointer %q", e.Pointer) }

// EncodeError reports a document that cannot be encoded as JSON.
type EncodeError struct{ Cause error }

// Error implements error.
func (e *EncodeError) Error() string { return fmt.Sprintf("encode configuration: %v", e.Cause) }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// HashMismatchError reports that a document differs from the one that was accepted
// under the same version.
type HashMismatchError struct{ Want, Got string }

// Error implements error.
func (e *HashMismatchError) Error() string {
	return fmt.Sprintf("configuration hash is %s, want %s", e.Got, e.Want)
}

// fieldErrors collects problems.
type fieldErrors []problem.FieldError

func (f *fieldErrors) add(pointer, format string, args ...any) {
	*f = append(*f, problem.FieldError{Pointer: pointer, Reason: fmt.Sprintf(format, args...)})
}

// err returns the collected problems as *InvalidError, or nil.
func (f fieldErrors) err() error {
	if len(f) == 0 {
		return nil
	}
	return &InvalidError{Fields: f}
}
