package refusal

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// HeaderExecution is the response header with the value of Error.Execution.
const HeaderExecution = "X-Seam-Execution"

// Body is the JSON form of a refusal: the error object of the OpenAI API with two
// additional fields.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is the content of Body.
type Detail struct {
	Message    string    `json:"message"`
	Type       string    `json:"type"`
	Code       Code      `json:"code"`
	Execution  Execution `json:"execution"`
	RetryAfter float64   `json:"retry_after_seconds,omitempty"`
}

// Body returns the JSON form of e.
func (e *Error) Body() Body {
	return Body{Error: Detail{
		Message:    e.Message,
		Type:       errorType(e.Status),
		Code:       e.Code,
		Execution:  e.Execution,
		RetryAfter: e.RetryAfter.Seconds(),
	}}
}

// Write sends e as the complete response.
func (e *Error) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderExecution, string(e.Execution))
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", retrySeconds(e.RetryAfter))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(e.Body()) // the caller may have left, and the status is already sent
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	}
	return "invalid_request_error"
}

// retrySeconds rounds up, since the unit of Retry-After is whole seconds.
func retrySeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
