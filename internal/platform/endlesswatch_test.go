package platform

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"
)

// endlessAPI answers each call with a beginning and then filler until its caller closes.
func endlessAPI(t *testing.T, beginning, filler string) *Client {
	t.Helper()
	block := strings.Repeat(filler, max(1, 32<<10/len(filler)))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, beginning)
		for err == nil {
			_, err = io.WriteString(w, block)
		}
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return NewClient(server.URL)
}

// TestEndlessEventOfAWatchIsCut guards against one event without end filling a host: the time limit of a watch is one for silence.
func TestEndlessEventOfAWatchIsCut(t *testing.T) {
	const most = 64 * MaxObjectBytes // decoding copies its buffer as it grows
	for name, answer := range map[string][2]string{"text": {`{"type":"`, "k"}, "list": {`{"object":[`, "{},"}, "spaces": {``, " "}} {
		c := endlessAPI(t, answer[0], answer[1])
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		w, err := c.Watch(t.Context(), "config", 1)
		if err != nil {
			t.Fatal(err)
		}
		ended := false
		select {
		case <-w.Events():
			ended = true
		case <-time.After(time.Second):
			w.Stop()
		}
		runtime.ReadMemStats(&after)
		if n := after.TotalAlloc - before.TotalAlloc; n > most || !ended || w.Err() == nil {
			t.Errorf("%s: %d MB, ended %v, error %v, want %d MB at most and an error", name, n>>20, ended, w.Err(), most>>20)
		}
	}
}

// TestLargeEventsOfAWatchArrive guards against the events of a watch being counted together.
func TestLargeEventsOfAWatchArrive(t *testing.T) {
	event := `{"type":"PUT","object":{"value":"` + strings.Repeat("v", MaxObjectBytes) + `"}}` + "\n"
	w, err := endlessAPI(t, "", event).Watch(t.Context(), "config", 1)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Stop()
	for range 8 {
		if e, ok := <-w.Events(); !ok {
			t.Fatalf("watch ended after %v: %v", e, w.Err())
		}
	}
}
