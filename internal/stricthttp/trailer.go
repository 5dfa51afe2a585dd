package stricthttp

import (
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// CheckTrailer checks the names of the fields that followed a body. It returns a
// MalformedError.
func CheckTrailer(trailer http.Header) error {
	for name := range trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return &MalformedError{Reason: "field " + strconv.Quote(name) + " after the body"}
		}
	}
	return nil
}
