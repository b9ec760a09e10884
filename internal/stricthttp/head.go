package stricthttp

import (
	"fmt"
	"net/http"
)

// InvalidStatusError reports a response whose status is none that a response may have. Status 101 is among them, as no request asks for
// another protocol.
type InvalidStatusError struct {
	Status int
}

func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("response has the status %03d", e.Status)
}

// The statuses of a final response, by RFC 9110, 15. net/http takes any three digits.
const (
	minStatus = 200
	maxStatus = 599
)

// checkHead checks the head of a response. It fails with *InvalidStatusError.
func checkHead(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return &InvalidStatusError{Status: resp.StatusCode}
	}
	return nil
}
