// Package confine keeps a panic in the handling of one message from ending the process.
// It is for code that handles input from outside, one message at a time: the message is
// lost, and everything else goes on.
package confine

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"storj.io/drpc"
)

// maxStackBytes bounds the part of a stack that an error quotes.
const maxStackBytes = 2 << 10

// panics counts the confined panics of this process.
var panics atomic.Int64

// Panics returns the number of confined panics since the start.
func Panics() int64 { return panics.Load() }

// PanicError reports a panic in the handling of a message.
type PanicError struct {
	Task  string // what was being done
	Value any    // of the panic
	Stack string // its beginning
}

// Error implements error.
func (e *PanicError) Error() string {
	return fmt.Sprintf("panic in %s: %v\n%s", e.Task, e.Value, e.Stack)
}

// Call calls f. It returns a PanicError if f panics, otherwise what f returns.
func Call(task string, f func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			panics.Add(1)
			stack := debug.Stack()
			err = &PanicError{Task: task, Value: value, Stack: string(stack[:min(len(stack), maxStackBytes)])}
		}
	}()
	return f()
}

// Handler passes calls of other hosts on. A call whose handling panics fails alone.
type Handler struct{ drpc.Handler }

// HandleRPC implements drpc.Handler.
func (h Handler) HandleRPC(stream drpc.Stream, call string) error {
	return Call("call "+call, func() error { return h.Handler.HandleRPC(stream, call) })
}
