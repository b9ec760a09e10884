package stricthttp

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// InvalidStatusError reports a response whose status is none that a response may have. Status 101 is among them, as no request asks for
// another protocol.
type InvalidStatusError struct {
	Status int
}

func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("response has the status %03d", e.Status)
}

// InvalidFieldError reports a response with a header whose name is none.
type InvalidFieldError struct {
	Name string
}

func (e *InvalidFieldError) Error() string {
	return fmt.Sprintf("response has a header with the invalid name %.40q", e.Name)
}

// EncodedOldVersionError reports a response that has a transfer encoding although its version has none, so that its end is not known.
type EncodedOldVersionError struct {
	Proto string
}

func (e *EncodedOldVersionError) Error() string {
	return fmt.Sprintf("response has a transfer encoding, which %s does not have", e.Proto)
}

// The statuses of a final response, by RFC 9110, 15. net/http takes any three digits.
const (
	minStatus = 200
	maxStatus = 599
)

// checkHead checks the head of a response. It fails with *InvalidStatusError and with *InvalidFieldError. net/http accepts names with
// blanks, and does not take them for what they look like: a length or an encoding with a blank before its colon frames nothing.
func checkHead(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return &InvalidStatusError{Status: resp.StatusCode}
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &InvalidFieldError{Name: name}
		}
	}
	return nil
}
