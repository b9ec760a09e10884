package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/standin/objectapi"
)

const testToken = "operators-token"

// fakeConfig reports the progress that the test sets.
type fakeConfig struct{ progress config.Progress }

func (f *fakeConfig) Snapshot() *config.Snapshot { return &config.Snapshot{} }

func (f *fakeConfig) Progress(context.Context, platform.Version) config.Progress {
	return f.progress
}

func (f *fakeConfig) KnownProgress(platform.Version) config.Progress { return f.progress }

type fixture struct {
	t       *testing.T
	api     *objectapi.Store
	config  fakeConfig
	handler *Handler
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, api: objectapi.NewStore()}
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	h, err := New(Options{
		API: f.api, Config: &f.config, Members: noMembers{}, TokenHash: config.HashKey(testToken),
		Metrics: http.NotFoundHandler(), Ready: func() bool { return true }, Log: log,
	})
	if err != nil {
		t.Fatal(err)
	}
	f.handler = h
	return f
}

type noMembers struct{}

func (noMembers) Self() peer.Member      { return peer.Member{} }
func (noMembers) Members() []peer.Member { return nil }

// response holds the fields of Outcome and Problem that the tests check.
type response struct {
	status         int
	Code           string           `json:"code"`
	State          State            `json:"state"`
	Message        string           `json:"message"`
	Version        platform.Version `json:"version,string"`
	Expected       platform.Version `json:"expected,string"`
	Found          platform.Version `json:"found,string"`
	Waiting        []string         `json:"waiting"`
	MayHaveApplied bool             `json:"may_have_applied"`
}

func (f *fixture) call(method, path, operation, body string) response {
	r := httptest.NewRequest(method, "/admin/v1"+path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testToken)
	if operation != "" {
		r.Header.Set(HeaderOperation, operation)
	}
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, r)
	resp := response{status: w.Code}
	_ = json.Unmarshal(w.Body.Bytes(), &resp) // a list has none of the fields
	return resp
}

func teamInstance(rate int) string {
	return fmt.Sprintf(`{"template":"team","params":{"name":"a","rate":%d,"burst":10}}`, rate)
}

// TestChangeStates takes one instance through every state of a change except
// StateUnknown.
func TestChangeStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		waiting := config.Progress{Waiting: []string{"host-3"}}
		done := config.Progress{InForce: true}
		steps := []struct {
			name, method, path, operation, body string
			progress                            config.Progress
			faults                              objectapi.Faults
			status                              int
			state                               State
			version, expected, found            platform.Version
		}{
			{"malformed", "PUT", "/instances/a", "", "{", done, objectapi.Faults{}, 422, StateNotAccepted, 0, 0, 0},
			{"invalid", "PUT", "/instances/a", "", teamInstance(-1), done, objectapi.Faults{}, 422, StateNotAccepted, 0, 0, 0},
			{"bad name", "PUT", "/instances/a%20b", "", teamInstance(1), done, objectapi.Faults{}, 422, StateNotAccepted, 0, 0, 0},
			{"API down", "PUT", "/instances/a", "", teamInstance(1), done, objectapi.Faults{Down: true}, 503, StateNotAccepted, 0, 0, 0},
			{"created", "PUT", "/instances/a?wait=5", "op-1", teamInstance(1), done, objectapi.Faults{}, 200, StateAccepted, 1, 0, 0},
			{"repeated", "PUT", "/instances/a?wait=5", "op-1", teamInstance(1), done, objectapi.Faults{}, 200, StateAccepted, 1, 0, 0},
			{"created by another", "PUT", "/instances/a", "op-2", teamInstance(2), done, objectapi.Faults{}, 409, StateConflict, 0, 0, 1},
			{"updated", "PUT", "/instances/a?version=1&wait=2", "", teamInstance(2), waiting, objectapi.Faults{}, 202, StatePending, 2, 0, 0},
			{"old version", "PUT", "/instances/a?version=1", "", teamInstance(3), done, objectapi.Faults{}, 409, StateConflict, 0, 1, 2},
			{"lost answers", "PUT", "/instances/a?version=2", "op-3", teamInstance(3), done, objectapi.Faults{LoseResponses: true}, 200, StateAccepted, 3, 0, 0},
			{"progress", "GET", "/instances/a/progress?version=3", "", "", waiting, objectapi.Faults{}, 202, StatePending, 3, 0, 0},
			{"withdrawn without a version", "DELETE", "/instances/a", "", "", done, objectapi.Faults{}, 422, StateNotAccepted, 0, 0, 0},
			{"withdrawn", "DELETE", "/instances/a?version=3", "", "", done, objectapi.Faults{}, 200, StateAccepted, 4, 0, 0},
			{"read after", "GET", "/instances/a", "", "", done, objectapi.Faults{}, 404, "", 0, 0, 0},
			{"created again", "PUT", "/instances/a", "", teamInstance(4), done, objectapi.Faults{}, 200, StateAccepted, 5, 0, 0},
		}
		for _, s := range steps {
			f.config.progress = s.progress
			f.api.SetFaults(s.faults)
			resp := f.call(s.method, s.path, s.operation, s.body)
			if resp.status != s.status || resp.State != s.state || resp.Version != s.version || resp.Expected != s.expected || resp.Found != s.found {
				t.Errorf("%s: unexpected response %+v", s.name, resp)
			}
			if resp.Message == "" {
				t.Errorf("%s: response has no message", s.name)
			}
		}
	})
}

// lostResponseAPI stores writes without confirming them and fails reads.
type lostResponseAPI struct{ platform.API }

func (l lostResponseAPI) Put(ctx context.Context, obj platform.Object) (platform.Object, error) {
	_, err := l.API.Put(ctx, obj)
	if err != nil {
		return platform.Object{}, err
	}
	return platform.Object{}, &platform.UnknownOutcomeError{Kind: obj.Kind, Name: obj.Name, OpID: obj.OpID}
}

func (l lostResponseAPI) Get(context.Context, platform.Kind, string) (platform.Object, error) {
	return platform.Object{}, &platform.UnavailableError{Op: "get"}
}

// TestRetryResolvesUnknownOutcome checks that a change whose confirmation was
// lost is reported as unknown, and that repeating the call finds the stored
// change instead of storing it again.
func TestRetryResolvesUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.config.progress = config.Progress{InForce: true}
		f.handler.opts.API = lostResponseAPI{f.api}
		if resp := f.call("PUT", "/instances/a", "op-1", teamInstance(1)); resp.status != 504 || resp.State != StateUnknown {
			t.Fatalf("%+v", resp)
		}
		f.handler.opts.API = f.api
		if resp := f.call("PUT", "/instances/a", "op-1", teamInstance(1)); resp.State != StateAccepted || resp.Version != 1 {
			t.Fatalf("%+v", resp)
		}
	})
}

func TestOperatorTokenRequired(t *testing.T) {
	f := newFixture(t)
	for _, header := range []string{"", "Bearer wrong", testToken + "x"} {
		r := httptest.NewRequest("GET", "/admin/v1/instances", nil)
		r.Header.Set("Authorization", header)
		w := httptest.NewRecorder()
		f.handler.ServeHTTP(w, r)
		if w.Code != http.StatusUnauthorized {
			t.Errorf("header %q: status %d", header, w.Code)
		}
	}
}

func TestDiff(t *testing.T) {
	f := newFixture(t)
	f.call("PUT", "/instances/same", "", teamInstance(1))
	f.call("PUT", "/instances/changed", "", teamInstance(1))
	f.call("PUT", "/instances/extra", "", teamInstance(1))
	list := `[{"name":"same","template":"team","params":{"name":"a","rate":1,"burst":10,"weight":1}},
		{"name":"changed","template":"team","params":{"name":"a","rate":2,"burst":10}},
		{"name":"new","template":"team","params":{"name":"b","rate":1,"burst":10}}]`
	r := httptest.NewRequest("POST", "/admin/v1/diff?prune=true", strings.NewReader(list))
	r.Header.Set("Authorization", "Bearer "+testToken)
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, r)
	var got []Difference
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	want := "changed:update:2:rate extra:withdraw:3: new:create:0: same:unchanged:1:"
	var parts []string
	for _, d := range got {
		param := ""
		for _, p := range d.Params {
			param += p.Name
		}
		parts = append(parts, fmt.Sprintf("%s:%s:%d:%s", d.Name, d.Action, d.Version, param))
	}
	if s := strings.Join(parts, " "); s != want {
		t.Fatalf("got %s, want %s", s, want)
	}
}
