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

const token = "operators-token"

// fakeConfig says what progress the test wants.
type fakeConfig struct{ p config.Progress }

func (f *fakeConfig) Snapshot() *config.Snapshot { return &config.Snapshot{} }

func (f *fakeConfig) Progress(context.Context, platform.Version) config.Progress { return f.p }

func (f *fakeConfig) KnownProgress(platform.Version) config.Progress { return f.p }

type bench struct {
	t       *testing.T
	api     *objectapi.Store
	config  fakeConfig
	handler *Handler
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, api: objectapi.NewStore()}
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	h, err := New(Options{
		API: b.api, Config: &b.config, Members: members{}, TokenHash: config.HashKey(token),
		Metrics: http.NotFoundHandler(), Ready: func() bool { return true }, Log: log,
	})
	if err != nil {
		t.Fatal(err)
	}
	b.handler = h
	return b
}

type members struct{}

func (members) Self() peer.Member      { return peer.Member{} }
func (members) Members() []peer.Member { return nil }

// answer holds the fields of Outcome and Problem that the tests look at.
type answer struct {
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

func (b *bench) call(method, path, operation, body string) answer {
	r := httptest.NewRequest(method, "/admin/v1"+path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	if operation != "" {
		r.Header.Set(HeaderOperation, operation)
	}
	w := httptest.NewRecorder()
	b.handler.ServeHTTP(w, r)
	a := answer{status: w.Code}
	_ = json.Unmarshal(w.Body.Bytes(), &a) // lists have none of the fields
	return a
}

func team(rate int) string {
	return fmt.Sprintf(`{"template":"team","params":{"name":"a","rate":%d,"burst":10}}`, rate)
}

// TestOutcomes walks one instance through every state of a change.
func TestOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
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
			{"invalid", "PUT", "/instances/a", "", team(-1), done, objectapi.Faults{}, 422, StateNotAccepted, 0, 0, 0},
			{"bad name", "PUT", "/instances/a%20b", "", team(1), done, objectapi.Faults{}, 422, StateNotAccepted, 0, 0, 0},
			{"API down", "PUT", "/instances/a", "", team(1), done, objectapi.Faults{Down: true}, 503, StateNotAccepted, 0, 0, 0},
			{"created", "PUT", "/instances/a?wait=5", "op-1", team(1), done, objectapi.Faults{}, 200, StateAccepted, 1, 0, 0},
			{"repeated", "PUT", "/instances/a?wait=5", "op-1", team(1), done, objectapi.Faults{}, 200, StateAccepted, 1, 0, 0},
			{"created by another", "PUT", "/instances/a", "op-2", team(2), done, objectapi.Faults{}, 409, StateConflict, 0, 0, 1},
			{"updated", "PUT", "/instances/a?version=1&wait=2", "", team(2), waiting, objectapi.Faults{}, 202, StatePending, 2, 0, 0},
			{"old version", "PUT", "/instances/a?version=1", "", team(3), done, objectapi.Faults{}, 409, StateConflict, 0, 1, 2},
			{"lost answers", "PUT", "/instances/a?version=2", "op-3", team(3), done, objectapi.Faults{LoseAnswers: true}, 200, StateAccepted, 3, 0, 0},
			{"progress", "GET", "/instances/a/progress?version=3", "", "", waiting, objectapi.Faults{}, 202, StatePending, 3, 0, 0},
			{"withdrawn without a version", "DELETE", "/instances/a", "", "", done, objectapi.Faults{}, 422, StateNotAccepted, 0, 0, 0},
			{"withdrawn", "DELETE", "/instances/a?version=3", "", "", done, objectapi.Faults{}, 200, StateAccepted, 4, 0, 0},
			{"read after", "GET", "/instances/a", "", "", done, objectapi.Faults{}, 404, "", 0, 0, 0},
			{"created again", "PUT", "/instances/a", "", team(4), done, objectapi.Faults{}, 200, StateAccepted, 5, 0, 0},
		}
		for _, s := range steps {
			b.config.p = s.progress
			b.api.SetFaults(s.faults)
			a := b.call(s.method, s.path, s.operation, s.body)
			if a.status != s.status || a.State != s.state || a.Version != s.version || a.Expected != s.expected || a.Found != s.found {
				t.Errorf("%s: %+v", s.name, a)
			}
			if a.Message == "" {
				t.Errorf("%s: no message", s.name)
			}
		}
	})
}

// unansweredAPI stores writes, loses their answers and cannot be read.
type unansweredAPI struct{ platform.API }

func (u unansweredAPI) Put(ctx context.Context, obj platform.Object) (platform.Object, error) {
	_, err := u.API.Put(ctx, obj)
	if err != nil {
		return platform.Object{}, err
	}
	return platform.Object{}, &platform.UnknownOutcomeError{Kind: obj.Kind, Name: obj.Name, OpID: obj.OpID}
}

func (u unansweredAPI) Get(context.Context, platform.Kind, string) (platform.Object, error) {
	return platform.Object{}, &platform.UnavailableError{Op: "get"}
}

// TestUnknownIsSettledByRepeating loses every answer; the same call finds out
// later that the change is stored, and stores it once.
func TestUnknownIsSettledByRepeating(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.config.p = config.Progress{InForce: true}
		b.handler.opts.API = unansweredAPI{b.api}
		if a := b.call("PUT", "/instances/a", "op-1", team(1)); a.status != 504 || a.State != StateUnknown {
			t.Fatalf("%+v", a)
		}
		b.handler.opts.API = b.api
		if a := b.call("PUT", "/instances/a", "op-1", team(1)); a.State != StateAccepted || a.Version != 1 {
			t.Fatalf("%+v", a)
		}
	})
}

func TestOperatorsTokenIsRequired(t *testing.T) {
	b := newBench(t)
	for _, header := range []string{"", "Bearer wrong", token + "x"} {
		r := httptest.NewRequest("GET", "/admin/v1/instances", nil)
		r.Header.Set("Authorization", header)
		w := httptest.NewRecorder()
		b.handler.ServeHTTP(w, r)
		if w.Code != http.StatusUnauthorized {
			t.Errorf("header %q: status %d", header, w.Code)
		}
	}
}

func TestDiff(t *testing.T) {
	b := newBench(t)
	b.call("PUT", "/instances/same", "", team(1))
	b.call("PUT", "/instances/changed", "", team(1))
	b.call("PUT", "/instances/extra", "", team(1))
	list := `[{"name":"same","template":"team","params":{"name":"a","rate":1,"burst":10,"weight":1}},
		{"name":"changed","template":"team","params":{"name":"a","rate":2,"burst":10}},
		{"name":"new","template":"team","params":{"name":"b","rate":1,"burst":10}}]`
	r := httptest.NewRequest("POST", "/admin/v1/diff?prune=true", strings.NewReader(list))
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	b.handler.ServeHTTP(w, r)
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
