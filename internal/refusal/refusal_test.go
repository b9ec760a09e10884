package refusal

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestWireForm checks the JSON form and the headers, which callers depend on.
func TestWireForm(t *testing.T) {
	w := httptest.NewRecorder()
	New(429, CodeRateLimited, "The team's rate is used up.").WithRetryAfter(1500 * time.Millisecond).Write(w)
	if w.Code != 429 || w.Header().Get("Retry-After") != "2" || w.Header().Get(HeaderExecution) != "not_run" {
		t.Errorf("status %d, headers %v", w.Code, w.Header())
	}
	goldie.New(t).Assert(t, "rate_limited", w.Body.Bytes())
}
