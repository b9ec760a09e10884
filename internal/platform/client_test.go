package platform_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/standin/objectapi"
)

// newTestAPI serves the stand-in of the object API over HTTP. Each request passes
// through intercept, which may break the response.
func newTestAPI(t *testing.T, intercept func(w http.ResponseWriter, r *http.Request, next http.Handler)) (*objectapi.Store, *platform.Client, tally.TestScope) {
	t.Helper()
	store := objectapi.NewStore()
	handler := objectapi.Handler(store)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { intercept(w, r, handler) }))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	scope := tally.NewTestScope("", nil)
	return store, platform.NewClient(server.URL, platform.WithMetrics(scope)), scope
}

func passThrough(w http.ResponseWriter, r *http.Request, next http.Handler) { next.ServeHTTP(w, r) }

var object = platform.Object{Kind: platform.KindInstances, Name: "a", Data: json.RawMessage(`{}`)}

// TestClientClassifiesFailures checks that a failed write is reported as without effect
// or as of unknown outcome, depending on how it failed.
func TestClientClassifiesFailures(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request, _ http.Handler) {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only after that
		<-r.Context().Done()
	}
	tests := []struct {
		name      string
		intercept func(http.ResponseWriter, *http.Request, http.Handler)
		unknown   bool
	}{
		{"refused by the API", func(w http.ResponseWriter, _ *http.Request, _ http.Handler) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"code":503}`))
		}, false},
		{"gateway error without a status document", func(w http.ResponseWriter, _ *http.Request, _ http.Handler) {
			w.WriteHeader(http.StatusBadGateway)
		}, true},
		{"connection closed after the request", func(http.ResponseWriter, *http.Request, http.Handler) {
			panic(http.ErrAbortHandler)
		}, true},
		{"no response in time", hang, true},
		{"truncated response", func(w http.ResponseWriter, _ *http.Request, _ http.Handler) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"api`))
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, client, _ := newTestAPI(t, tt.intercept)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, err := client.Put(ctx, object)
			var unknown *platform.UnknownOutcomeError
			var unavailable *platform.UnavailableError
			if errors.As(err, &unknown) != tt.unknown || errors.As(err, &unavailable) == tt.unknown {
				t.Errorf("put: %T %v", err, err)
			}
			if tt.unknown && unknown.OpID == "" {
				t.Error("the error has no operation id to compare with")
			}
			if _, err := client.List(ctx, platform.KindInstances); !errors.As(err, &unavailable) {
				t.Errorf("list: %T %v", err, err)
			}
		})
	}
}

// TestPutConfirmedAfterLostResponses loses the first responses of a write, with and
// without the write taking effect. The write must be stored exactly once.
func TestPutConfirmedAfterLostResponses(t *testing.T) {
	for name, applied := range map[string]bool{"write applied": true, "write not applied": false} {
		t.Run(name, func(t *testing.T) {
			var responsesToLose atomic.Int32
			responsesToLose.Store(2)
			store, client, scope := newTestAPI(t, func(w http.ResponseWriter, r *http.Request, next http.Handler) {
				if r.Method == http.MethodGet || responsesToLose.Add(-1) < 0 {
					next.ServeHTTP(w, r)
					return
				}
				if applied {
					next.ServeHTTP(httptest.NewRecorder(), r)
				}
				panic(http.ErrAbortHandler)
			})
			stored, err := platform.PutConfirmed(t.Context(), client, object)
			if err != nil {
				t.Fatal(err)
			}
			found, err := store.Get(t.Context(), object.Kind, object.Name)
			if err != nil || found.Version != stored.Version || found.OpID != stored.OpID || found.Version != 1 {
				t.Fatalf("stored %+v, returned %+v, %v", found, stored, err)
			}
			if c := scope.Snapshot().Counters()["object_api.calls+kind=instances,op=put"]; c == nil || c.Value() < 1 {
				t.Error("writes are not counted by kind")
			}
		})
	}
}

// TestPutConfirmedSuperseded loses the response of a write that another writer replaces
// before it is read back.
func TestPutConfirmedSuperseded(t *testing.T) {
	var first atomic.Bool
	first.Store(true)
	_, client, _ := newTestAPI(t, func(w http.ResponseWriter, r *http.Request, next http.Handler) {
		if r.Method != http.MethodPost || !first.Swap(false) {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(httptest.NewRecorder(), r)
		put := `{"kind":"instances","metadata":{"name":"a","resourceVersion":"1"},"spec":{"by":"another"}}`
		other := httptest.NewRequest(http.MethodPut, platform.BasePath+"/instances/a", jsonBody(put))
		next.ServeHTTP(httptest.NewRecorder(), other)
		panic(http.ErrAbortHandler)
	})
	_, err := platform.PutConfirmed(t.Context(), client, object)
	var superseded *platform.SupersededError
	if !errors.As(err, &superseded) || superseded.Found != 2 {
		t.Fatalf("%T %v", err, err)
	}
}

// TestSilentWatchEnds opens a watch on a connection that delivers nothing. The watch
// must end with a SilentWatchError.
func TestSilentWatchEnds(t *testing.T) {
	_, client, _ := newTestAPI(t, func(w http.ResponseWriter, r *http.Request, _ http.Handler) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	w, err := client.Watch(t.Context(), platform.KindInstances, 0)
	if err != nil {
		t.Fatal(err)
	}
	for range w.Events() {
		t.Fatal("event on a silent watch")
	}
	var silent *platform.SilentWatchError
	if err := w.Err(); !errors.As(err, &silent) {
		t.Fatalf("%T %v", err, err)
	}
}

// TestStoppedWatchHasNoError stops an open watch.
func TestStoppedWatchHasNoError(t *testing.T) {
	_, client, _ := newTestAPI(t, passThrough)
	w, err := client.Watch(t.Context(), platform.KindInstances, 0)
	if err != nil {
		t.Fatal(err)
	}
	w.Stop()
	for range w.Events() {
		continue
	}
	if err := w.Err(); err != nil {
		t.Fatal(err)
	}
}

// TestRateLimitRefusesBeforeSending makes more calls than the rate limit allows. The
// excess calls must fail without reaching the API.
func TestRateLimitRefusesBeforeSending(t *testing.T) {
	store := objectapi.NewStore()
	server := httptest.NewServer(objectapi.Handler(store))
	defer server.Close()
	client := platform.NewClient(server.URL, platform.WithRateLimits(0, 0))
	var err error
	for range 200 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		_, err = client.Put(ctx, platform.Object{Kind: object.Kind, Name: "b", Data: object.Data})
		cancel()
		var conflict *platform.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			break
		}
	}
	var limited *platform.RateLimitError
	if !errors.As(err, &limited) {
		t.Fatalf("%T %v", err, err)
	}
	if n := store.Calls()["put"]; n != 100 {
		t.Fatalf("%d calls reached the API, the rate limit allows a burst of 100", n)
	}
}

func jsonBody(s string) *strings.Reader { return strings.NewReader(s) }
