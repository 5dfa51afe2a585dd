package confine

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// Guards against a panic that ends the process, is lost, or takes the place of an error.
func TestPanicBecomesAnError(t *testing.T) {
	before := Panics()
	err := Call("reading a row", func() error {
		var rows []int
		_ = rows[len(rows)]
		return nil
	})
	var confined *PanicError
	if !errors.As(err, &confined) || !strings.Contains(err.Error(), "reading a row") || !strings.Contains(confined.Stack, "confine_test.go") {
		t.Errorf("error %v", err)
	}
	if Panics() != before+1 {
		t.Error("the panic is not counted")
	}
	if err := Call("x", func() error { return io.EOF }); !errors.Is(err, io.EOF) {
		t.Errorf("error %v, want io.EOF", err)
	}
	if err := Call("x", func() error { return nil }); err != nil {
		t.Errorf("error %v, want none", err)
	}
}
