// Package stricthttptest has malformed responses for tests of what reads responses.
package stricthttptest

import (
	"fmt"
	"maps"
	"strconv"
)

// Response is a response that a stand-in sends.
type Response struct {
	// Fields are fields of the head, each of them "Name: value\r\n".
	Fields string
	Body   string
}

// Sound returns the response with status 200 and a length.
func (r Response) Sound() string { return r.withStatus("200 OK") }

func (r Response) withStatus(status string) string {
	return "HTTP/1.1 " + status + "\r\n" + r.Fields + "Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n\r\n" + r.Body
}

func (r Response) withLine(line string) string {
	r.Fields += line + "\r\n"
	return r.Sound()
}

func (r Response) withoutLength(line string) string {
	return "HTTP/1.1 200 OK\r\n" + r.Fields + line + "\r\n\r\n" + r.Body
}

func (r Response) chunked(trailer string) string {
	return r.withoutBody("Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n0\r\n%s\r\n\r\n", len(r.Body), r.Body, trailer)
}

func (r Response) withoutBody(line string) string {
	r.Body = ""
	return r.withoutLength(line)
}

// Malformed returns all malformed variants of the response, by what is malformed.
func (r Response) Malformed() map[string]string {
	all := r.MalformedStatus()
	maps.Copy(all, r.MalformedNames())
	maps.Copy(all, r.MalformedTrailers())
	maps.Copy(all, r.MalformedFraming())
	return all
}

// MalformedStatus returns the response with impossible statuses, by what is malformed.
func (r Response) MalformedStatus() map[string]string {
	return map[string]string{
		"status 000":                    r.withStatus("000 None"),
		"status 000, no body":           "HTTP/1.1 000 None\r\n" + r.Fields + "Content-Length: 0\r\n\r\n",
		"status 000, an answer as body": "HTTP/1.1 000 None\r\n" + r.Fields + "\r\n" + r.Sound(),
		"status 000 before an answer":   "HTTP/1.1 000 None\r\n\r\n" + r.Sound(),
		"status 000 in an interim head": "HTTP/1.1 103 Early Hints\r\n\r\n" + r.withStatus("000 None"),
		"status 099":                    r.withStatus("099 Low"),
		"status 600":                    r.withStatus("600 High"),
		"status 999":                    r.withStatus("999 High"),
		"status with a sign":            r.withStatus("+20 OK"),
		"status of an upgrade":          r.withStatus("101 Switching Protocols"),
	}
}

// MalformedNames returns the response with impossible names of fields in its head, by what is
// malformed.
func (r Response) MalformedNames() map[string]string {
	return map[string]string{
		"blank in a name":           r.withLine("X Odd: 1"),
		"blank before the colon":    r.withLine("X-Odd : 1"),
		"blank before a name":       r.withLine(" X-Odd: 1"),
		"tab before a name":         r.withLine("\tX-Odd: 1"),
		"tab in a name":             r.withLine("X\tOdd: 1"),
		"control byte in a name":    r.withLine("X\x01Odd: 1"),
		"NUL in a name":             r.withLine("X\x00Odd: 1"),
		"DEL in a name":             r.withLine("X\x7fOdd: 1"),
		"carriage return in a name": r.withLine("X\rOdd: 1"),
		"no name":                   r.withLine(": 1"),
		"blank in a length's name":  r.withoutLength("Content-Length : 9"),
		"blank in a coding's name":  r.withoutLength("Transfer-Encoding : chunked"),
		"name in an interim head":   "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + r.Sound(),
		"blank in an interim head":  "HTTP/1.1 103 Early Hints\r\nLink: a\r\n X-Odd: 1\r\n\r\n" + r.Sound(),
	}
}

// MalformedTrailers returns the response with impossible names of fields after its body, by what
// is malformed.
func (r Response) MalformedTrailers() map[string]string {
	return map[string]string{
		"blank in a trailer's name":        r.chunked("X Odd: 1"),
		"control byte in a trailer's name": r.chunked("X\x01Odd: 1"),
	}
}

// MalformedFraming returns the response with lengths and chunks that do not state where its body
// ends, by what is malformed.
func (r Response) MalformedFraming() map[string]string {
	chunks := func(body string) string { return r.withoutBody("Transfer-Encoding: chunked") + body }
	return map[string]string{
		"length that is no number":       r.withoutLength("Content-Length: odd"),
		"two lengths":                    r.withoutLength("Content-Length: 1\r\nContent-Length: 2"),
		"unknown coding":                 r.withoutLength("Transfer-Encoding: odd"),
		"chunk length that is no number": chunks("odd\r\n" + r.Body + "\r\n0\r\n\r\n"),
		"chunk length with 17 digits":    chunks("10000000000000000\r\n" + r.Body),
		"chunk longer than its length":   chunks("1\r\n" + r.Body + "\r\n0\r\n\r\n"),
		"trailer without a colon":        r.chunked("X-Odd"),
	}
}
