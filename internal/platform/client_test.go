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

// api is the stand-in over HTTP, behind a handler that may spoil answers.
func api(t *testing.T, spoil func(w http.ResponseWriter, r *http.Request, next http.Handler)) (*objectapi.Store, *platform.Client, tally.TestScope) {
	t.Helper()
	store := objectapi.NewStore()
	handler := objectapi.Handler(store)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { spoil(w, r, handler) }))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	scope := tally.NewTestScope("", nil)
	return store, platform.NewClient(server.URL, platform.WithMetrics(scope)), scope
}

func pass(w http.ResponseWriter, r *http.Request, next http.Handler) { next.ServeHTTP(w, r) }

var object = platform.Object{Kind: platform.KindInstances, Name: "a", Data: json.RawMessage(`{}`)}

// TestClientClassifiesFailures checks what a failure says about the effect of a
// write.
func TestClientClassifiesFailures(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request, _ http.Handler) {
		_, _ = io.Copy(io.Discard, r.Body) // the server sees the end of a connection only then
		<-r.Context().Done()
	}
	tests := []struct {
		name    string
		spoil   func(http.ResponseWriter, *http.Request, http.Handler)
		unknown bool
	}{
		{"refused by the API", func(w http.ResponseWriter, _ *http.Request, _ http.Handler) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"code":503}`))
		}, false},
		{"gateway without an answer", func(w http.ResponseWriter, _ *http.Request, _ http.Handler) {
			w.WriteHeader(http.StatusBadGateway)
		}, true},
		{"connection cut after the request", func(http.ResponseWriter, *http.Request, http.Handler) {
			panic(http.ErrAbortHandler)
		}, true},
		{"no answer in time", silent, true},
		{"answer cut short", func(w http.ResponseWriter, _ *http.Request, _ http.Handler) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"api`))
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, client, _ := api(t, tt.spoil)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, err := client.Put(ctx, object)
			var unknown *platform.UnknownOutcomeError
			var unavailable *platform.UnavailableError
			if errors.As(err, &unknown) != tt.unknown || errors.As(err, &unavailable) == tt.unknown {
				t.Errorf("put: %T %v", err, err)
			}
			if tt.unknown && unknown.OpID == "" {
				t.Error("no operation id to read back by")
			}
			if _, err := client.List(ctx, platform.KindInstances); !errors.As(err, &unavailable) {
				t.Errorf("list: %T %v", err, err)
			}
		})
	}
}

// TestPutSettledAfterLostAnswers loses the first answers of writes that did or
// did not take effect.
func TestPutSettledAfterLostAnswers(t *testing.T) {
	for name, effect := range map[string]bool{"taken effect": true, "not taken effect": false} {
		t.Run(name, func(t *testing.T) {
			var left atomic.Int32
			left.Store(2)
			store, client, scope := api(t, func(w http.ResponseWriter, r *http.Request, next http.Handler) {
				if r.Method == http.MethodGet || left.Add(-1) < 0 {
					next.ServeHTTP(w, r)
					return
				}
				if effect {
					next.ServeHTTP(httptest.NewRecorder(), r)
				}
				panic(http.ErrAbortHandler)
			})
			stored, err := platform.PutConfirmed(t.Context(), client, object)
			if err != nil {
				t.Fatal(err)
			}
			kept, err := store.Get(t.Context(), object.Kind, object.Name)
			if err != nil || kept.Version != stored.Version || kept.OpID != stored.OpID || kept.Version != 1 {
				t.Fatalf("stored %+v, settled as %+v, %v", kept, stored, err)
			}
			if c := scope.Snapshot().Counters()["object_api.calls+kind=instances,op=put"]; c == nil || c.Value() < 1 {
				t.Error("writes are not counted by kind")
			}
		})
	}
}

// TestPutSettledSuperseded loses the answer of a write that another writer
// replaces before it is read back.
func TestPutSettledSuperseded(t *testing.T) {
	var first atomic.Bool
	first.Store(true)
	_, client, _ := api(t, func(w http.ResponseWriter, r *http.Request, next http.Handler) {
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

// TestSilentWatchEnds opens a watch on a connection that goes silent.
func TestSilentWatchEnds(t *testing.T) {
	_, client, _ := api(t, func(w http.ResponseWriter, r *http.Request, _ http.Handler) {
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
	var silent *platform.SilentError
	if err := w.Err(); !errors.As(err, &silent) {
		t.Fatalf("%T %v", err, err)
	}
}

// TestStoppedWatchHasNoError stops a watch in use.
func TestStoppedWatchHasNoError(t *testing.T) {
	_, client, _ := api(t, pass)
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

// TestBudgetRefusesBeforeSending uses the budget up.
func TestBudgetRefusesBeforeSending(t *testing.T) {
	store := objectapi.NewStore()
	server := httptest.NewServer(objectapi.Handler(store))
	defer server.Close()
	client := platform.NewClient(server.URL, platform.WithBudget(0, 0))
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
	var over *platform.BudgetError
	if !errors.As(err, &over) {
		t.Fatalf("%T %v", err, err)
	}
	if n := store.Calls()["put"]; n != 100 {
		t.Fatalf("%d calls reached the API, the budget allows 100 at once", n)
	}
}

func jsonBody(s string) *strings.Reader { return strings.NewReader(s) }
