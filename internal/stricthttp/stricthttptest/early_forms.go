package stricthttptest

import (
	"context"
	"fmt"
	"time"
)

const (
	// Uploads is the number of uploads for each form of an early response.
	Uploads = 40
	// UploadBytes is more than the buffers of a connection hold, so that an upload is still being
	// written when the response arrives.
	UploadBytes = 4 << 20
	// bufferedUploadBytes is what the sender's buffer holds, but not the receiver's.
	bufferedUploadBytes = 1 << 20
	// StalledUploadBytes is more than the system's largest buffers hold.
	StalledUploadBytes = 32 << 20
	// maxEndDelay is the longest time between a response and the end of its connection.
	maxEndDelay = 20 * time.Millisecond
)

// EarlyBody is the body of the early responses.
const EarlyBody = "id: 1\ndata: token 1\n\n"

// Unframed is a response that ends with its connection.
const Unframed = "HTTP/1.1 200 OK\r\n\r\n" + EarlyBody

// framed is a response with a length.
var framed = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(EarlyBody), EarlyBody)

// EarlyForm is a form of an early response.
type EarlyForm struct {
	Text        string
	Ending      Ending
	UploadBytes int
}

// Unframed reports whether the response ends with its connection.
func (f EarlyForm) Unframed() bool { return f.Text == Unframed }

// Response returns the response to the i-th of the uploads. The times at which their connections
// end differ.
func (f EarlyForm) Response(i int) EarlyResponse {
	return EarlyResponse{Text: f.Text, Delay: EndDelay(i), Ending: f.Ending}
}

// EndDelay returns the time between the response to the i-th of the uploads and its connection's
// end.
func EndDelay(i int) time.Duration { return maxEndDelay * time.Duration(i) / (Uploads - 1) }

// CutForms returns the responses whose connections fail before the upload has been delivered.
func CutForms() map[string]EarlyForm {
	return map[string]EarlyForm{
		"reset":                   {Unframed, Reset, UploadBytes},
		"close with unread bytes": {Unframed, CloseUnread, UploadBytes},
		"half-close, then reset":  {Unframed, HalfCloseAndReset, StalledUploadBytes},
		"half-close, then reset, request in the buffers": {Unframed, HalfCloseAndReset, bufferedUploadBytes},
	}
}

// WholeForms returns the responses that are whole. Those that stall end with a context.
func WholeForms(ctx context.Context) map[string]EarlyForm {
	return map[string]EarlyForm{
		"read to its end":         {Unframed, ReadAndClose, UploadBytes},
		"half-closed, read":       {Unframed, HalfCloseAndRead, UploadBytes},
		"length, never read":      {framed, StallUntil(ctx, false), UploadBytes},
		"length, read to its end": {framed, ReadAndClose, UploadBytes},
	}
}

// WholeThenReset returns the responses with a length whose connections are reset after them.
func WholeThenReset() map[string]EarlyForm {
	return map[string]EarlyForm{
		"length, reset":  {framed, Reset, UploadBytes},
		"length, unread": {framed, CloseUnread, UploadBytes},
	}
}
