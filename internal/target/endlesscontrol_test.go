package target

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
)

// TestEndlessAnswersToControlCallsAreCut guards against one JSON value without end, in an engine's answer to a call, filling a host for
// the three seconds that the call may take.
func TestEndlessAnswersToControlCallsAreCut(t *testing.T) {
	const most = 8 * maxControlBytes // decoding copies its buffer as it grows
	for name, beginning := range map[string]string{"text": `{"incarnation":"`, "list": `[`, "spaces": ``} {
		filler := map[string]string{"text": "k", "list": "{},", "spaces": " "}[name]
		block := strings.Repeat(filler, 32<<10/len(filler))
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				w.WriteHeader(http.StatusConflict)
			}
			_, err := io.WriteString(w, beginning)
			for err == nil {
				_, err = io.WriteString(w, block)
			}
		}))
		c := NewClient()
		address := strings.TrimPrefix(server.URL, "http://")
		for what, call := range map[string]func() error{
			"report": func() error { _, err := c.Report(t.Context(), address); return err },
			"events": func() error { _, err := c.CacheEvents(t.Context(), address, 0); return err },
			"order":  func() error { return c.Order(t.Context(), address, Order{}) },
		} {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := call()
			runtime.ReadMemStats(&after)
			if n := after.TotalAlloc - before.TotalAlloc; n > most || err == nil {
				t.Errorf("%s, %s: %d MB, error %v, want %d MB at most and an error", what, name, n>>20, err, most>>20)
			}
		}
		server.CloseClientConnections()
		server.Close()
	}
}
