package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/coord/permit"
	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/target"
)

// coldGateway returns a gateway both of whose engines are registered as cold for 5 s, in a service with the given limit.
func coldGateway(sender Sender, limit *fleet.ColdLimit) *Gateway {
	g := testGateway(sender)
	c := *g.opts.View.Config()
	spec := c.Services["llm"]
	spec.Cold = limit
	c.Services = map[string]fleet.Service{"llm": spec, "app": c.Services["app"]}
	c.Index()
	g.opts.View.SetConfig(&c)
	cold := map[string]fleet.Target{}
	for id, t := range g.opts.View.Targets().ByID {
		if t.Service == "llm" {
			t.WarmupLeft, t.StartedMS = 5*time.Second, 5
		}
		cold[id] = t
	}
	g.opts.View.SetTargets(fleet.NewTargets(cold))
	return g
}

// TestInvalidRatesOfColdTargets guards against requests to cold targets of a service whose rate is not above 0, against their being held
// until their deadline, and against a service without a rate being limited.
func TestInvalidRatesOfColdTargets(t *testing.T) {
	for name, c := range map[string]struct {
		limit *fleet.ColdLimit
		want  int
	}{"none": {nil, http.StatusOK}, "0": {&fleet.ColdLimit{}, http.StatusServiceUnavailable}, "negative": {&fleet.ColdLimit{Rate: -1}, http.StatusServiceUnavailable}} {
		synctest.Test(t, func(t *testing.T) {
			s := &scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){respond(http.StatusOK, firstEvent)}}
			g := coldGateway(s, c.limit)
			began := time.Now()
			w := post(g, "/stream/x", "m")
			if w.Code != c.want {
				t.Fatalf("rate %s: status %d, want %d", name, w.Code, c.want)
			}
			if w.Code == http.StatusOK {
				return
			}
			retry, _ := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			if took := time.Since(began); took > 100*time.Millisecond || retry < 4.9 || retry > 5 {
				t.Errorf("rate %s: refused after %v with Retry-After %v, want at once and 5", name, took, retry)
			}
			time.Sleep(time.Duration(retry*1000+10) * time.Millisecond)
			if w := post(g, "/stream/x", "m"); w.Code != http.StatusOK {
				t.Errorf("rate %s: status %d after Retry-After", name, w.Code)
			}
		})
	}
}

// TestRequestIsRefusedAtOnceIfNoPermitCanCome guards against requests that wait for permits that cannot come in time, and is the control
// of those that can.
func TestRequestIsRefusedAtOnceIfNoPermitCanCome(t *testing.T) {
	for name, c := range map[string]struct {
		cause permit.Cause
		want  int
	}{"no part": {permit.NoPart, http.StatusServiceUnavailable}, "settling": {permit.Settling, http.StatusOK}} {
		synctest.Test(t, func(t *testing.T) {
			s := &scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){respond(http.StatusOK, firstEvent)}}
			g := coldGateway(s, &fleet.ColdLimit{Rate: 20})
			deny(g, c.cause, 500*time.Millisecond)
			began := time.Now()
			w := post(g, "/stream/x", "m")
			if w.Code != c.want {
				t.Fatalf("%s: status %d, want %d", name, w.Code, c.want)
			}
			if took := time.Since(began); w.Code != http.StatusOK && (took > 300*time.Millisecond || w.Header().Get("Retry-After") < "4") {
				t.Errorf("%s: refused after %v with Retry-After %s", name, took, w.Header().Get("Retry-After"))
			}
		})
	}
}

// deny has the coordinator deny permits for a time from now on, with the given cause.
func deny(g *Gateway, cause permit.Cause, d time.Duration) {
	end := g.opts.Now() + d
	client := coordinator.NewClient(coordinator.ClientOptions{
		Self: fleet.Host{Name: "h"}, FleetView: g.opts.View, Owner: &coordinator.Owner{}, Calls: denyingCalls{cause}, Now: g.opts.Now, Log: g.opts.Log,
	})
	g.opts.RequestPermit = func(ctx context.Context, r coordinator.PermitRequest) coordinator.Permit {
		if g.opts.Now() < end {
			return client.RequestPermit(ctx, r)
		}
		return coordinator.Permit{Granted: true, Target: r.Target, Until: g.opts.Now() + permit.TTL}
	}
}

// TestPermitIsVoidAfterItsTime guards against a permit that is used late, and against one that is not needed any more.
func TestPermitIsVoidAfterItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){respond(http.StatusOK, firstEvent)}}
		g := coldGateway(s, &fleet.ColdLimit{Rate: 20})
		asked := 0
		g.opts.RequestPermit = func(_ context.Context, r coordinator.PermitRequest) coordinator.Permit {
			asked++
			p := coordinator.Permit{Granted: true, Target: r.Target, Until: g.opts.Now() + permit.TTL}
			if asked == 1 {
				time.Sleep(permit.TTL) // the reply comes late
			}
			return p
		}
		if w := post(g, "/stream/x", "m"); w.Code != http.StatusOK || asked != 2 || len(s.sent) != 1 {
			t.Errorf("status %d after %d permits and %d sends, want 200, 2 and 1", w.Code, asked, len(s.sent))
		}
	})
}

// denyingCalls plays a coordinator that denies all permits.
type denyingCalls struct{ cause permit.Cause }

func (d denyingCalls) Call(_ context.Context, _, _ string, _, reply any) error {
	return json.Unmarshal([]byte(`{"w":300,"e":300,"k":"`+string(d.cause)+`"}`), reply)
}
