package gateway

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/target"
)

// loggingSender gives the nth response to the nth send and records the addresses.
type loggingSender struct {
	scriptedSender
	addresses []string
}

func (s *loggingSender) Forward(ctx context.Context, address string, f target.ForwardRequest, id target.ResponseIDFunc) (*target.ForwardResponse, error) {
	s.addresses = append(s.addresses, address)
	return s.scriptedSender.Forward(ctx, address, f, id)
}

// withHomes gives all routes and the team of a test gateway homes. Its targets e1 and p1 are in region eu, e2 and p2 in us, and e3 in a
// zone without a region.
func withHomes(g *Gateway, route, team []string) *Gateway {
	v := g.opts.View
	v.SetRegions(map[string]string{"z0": "eu", "z1": "us"})
	config := *v.Config()
	config.Routes, config.Teams = slices.Clone(config.Routes), slices.Clone(config.Teams)
	for i := range config.Routes {
		config.Routes[i].Homes, config.Routes[i].Attempts = route, 4
	}
	config.Teams[0].Homes = team
	config.Index()
	v.SetConfig(&config)
	byID := map[string]fleet.Target{}
	for id, t := range v.Targets().ByID {
		t.Zone = map[byte]string{'1': "z0", '2': "z1"}[id[1]]
		byID[id] = t
	}
	for id, like := range map[string]string{"e3": "e1", "e4": "e1"} {
		t := byID[like]
		t.ID, t.Address, t.Zone = id, id, map[string]string{"e4": "z0"}[id]
		byID[id] = t
	}
	v.SetTargets(fleet.NewTargets(byID))
	return g
}

// TestRetriesAndResumedStreamsKeepToHomes guards against a body that leaves its home regions with a retry or where a stream goes on.
// The control is the same without homes, which uses the other targets.
func TestRetriesAndResumedStreamsKeepToHomes(t *testing.T) {
	for _, c := range []struct {
		name        string
		route, team []string
		allowed     string
	}{
		{"route", []string{"eu"}, nil, "e1 e4"}, {"team", nil, []string{"eu"}, "e1 e4"}, {"both", []string{"eu", "us"}, []string{"eu"}, "e1 e4"}, {"none", nil, nil, "e1 e2 e3 e4"},
	} {
		used := map[string]bool{}
		for range 20 {
			synctest.Test(t, func(t *testing.T) {
				s := &loggingSender{scriptedSender: scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){
					shed, breakAfter("id: 1\ndata: a\n\nid"), respond(200, "id: 2\ndata: b\n\n"),
				}}}
				w := post(withHomes(testGateway(s), c.route, c.team), "/stream/x", "m")
				for _, a := range s.addresses {
					used[a] = true
				}
				if c.name == "none" && (w.Code != 200 || len(s.addresses) != 3) {
					t.Errorf("without homes: status %d after %v", w.Code, s.addresses)
				}
			})
		}
		for a := range used {
			if !strings.Contains(c.allowed, a) {
				t.Errorf("homes of %s: sent to %s", c.name, a)
			}
		}
		if len(used) != len(strings.Fields(c.allowed)) {
			t.Errorf("homes of %s: only %v were used, want %s", c.name, used, c.allowed)
		}
	}
}

// TestHomesThatNobodyCanServeAreRefusedAtOnce guards against requests that are held until their deadline, or served elsewhere, though
// no region is left. The controls are homes that can be served.
func TestHomesThatNobodyCanServeAreRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		route, team []string
		status      int
	}{
		"nothing in common": {[]string{"eu"}, []string{"us"}, 503}, "no such region": {[]string{"mars"}, nil, 503}, "unreadable": {nil, []string{""}, 503},
		"one known": {[]string{"mars", "eu"}, nil, 200}, "no homes": {nil, nil, 200},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &loggingSender{scriptedSender: scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){respond(200, "ok")}}}
			start := time.Now()
			w := post(withHomes(testGateway(s), c.route, c.team), "/pay/x", "")
			if w.Code != c.status || time.Since(start) > 0 {
				t.Errorf("%s: status %d after %v, want %d at once", name, w.Code, time.Since(start), c.status)
			}
			if c.status == 503 && (w.Header().Get("Retry-After") != "" || len(s.addresses) > 0) {
				t.Errorf("%s: Retry-After %q, sent to %v; want neither", name, w.Header().Get("Retry-After"), s.addresses)
			}
		})
	}
}

// TestHomesWithoutTargetsCountAsNoTarget guards against requests that are lost for good, as targets may register at any time: one that
// waits is sent once a target of its home is there, and its model counts as wanted there.
func TestHomesWithoutTargetsCountAsNoTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &loggingSender{scriptedSender: scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){respond(200, "id: 1\ndata: a\n\n")}}}
		g := withHomes(testGateway(s), []string{"as"}, nil)
		g.opts.View.SetRegions(map[string]string{"z0": "eu", "z1": "us", "z9": "as"})
		done := make(chan int)
		go func() { done <- post(g, "/stream/x", "m").Code }()
		time.Sleep(time.Second)
		if n := g.opts.View.Waiting("llm", "m"); n != 1 {
			t.Errorf("%d requests wait for the model, want 1", n)
		}
		byID := map[string]fleet.Target{"e9": {ID: "e9", Service: "llm", Address: "e9", Zone: "z9", Slots: 8, Models: map[string][]string{"m": nil}}}
		for id, target := range g.opts.View.Targets().ByID {
			byID[id] = target
		}
		g.opts.View.SetTargets(fleet.NewTargets(byID))
		if code := <-done; code != 200 || !slices.Equal(s.addresses, []string{"e9"}) {
			t.Errorf("status %d after sends to %v, want 200 from e9", code, s.addresses)
		}
	})
}

// TestHomesWithoutHelperAreRefusedAtOnce guards against a body that is passed on to a host outside its homes, or is held until its
// deadline, where this host has lost its way to all targets. The controls are a helper in the homes and a request without homes.
func TestHomesWithoutHelperAreRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		homes   []string
		helpers string // region
		status  int
		sends   int
	}{
		"helper elsewhere":           {[]string{"eu"}, "us", 503, 0},
		"helper without a region":    {[]string{"eu"}, "", 503, 0},
		"helper in the home":         {[]string{"eu"}, "eu", 200, 1},
		"no homes":                   {nil, "us", 200, 1},
		"no homes and no region":     {nil, "", 200, 1},
		"helper in one of the homes": {[]string{"as", "eu"}, "eu", 200, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			direct := &loggingSender{}
			g := withHomes(testGateway(direct), c.homes, nil)
			helpers := &scriptedHelpers{region: c.helpers, scriptedSender: scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){respond(200, "ok")}}}
			g.opts.Reach, g.opts.Helpers, g.opts.Self = lostWay{}, helpers, "h0"
			w := post(g, "/pay/x", "")
			if w.Code != c.status || len(helpers.sent) != c.sends || time.Since(start) > 0 {
				t.Errorf("%s: status %d, %d sends to helpers after %v, want %d and %d at once", name, w.Code, len(helpers.sent), time.Since(start), c.status, c.sends)
			}
			if c.status == 503 && w.Header().Get("Retry-After") == "" {
				t.Errorf("%s: no Retry-After, although another host may serve the request", name)
			}
			if len(direct.addresses) > 0 {
				t.Errorf("%s: sent to %v directly", name, direct.addresses)
			}
		})
	}
}

// TestHelpersOfLargeFleetsAreInHomes guards against a helper outside the homes at any size of fleet, with hosts that are cut off or have no
// region. The control is that some helper is found while one in the homes is left.
func TestHelpersOfLargeFleetsAreInHomes(t *testing.T) {
	for _, hosts := range []int{8, 70, 295} {
		for regions := 1; regions <= 3; regions++ {
			regionOf := func(zone string) string {
				var i int
				if _, err := fmt.Sscanf(zone, "z%d", &i); err != nil {
					return ""
				}
				return fmt.Sprint("r", i%regions)
			}
			c := helperChoice{hosts: map[string]fleet.Host{}, tried: map[string]bool{}, regions: []string{"r0"}, regionOf: regionOf}
			inHome := 0
			for i := range hosts {
				h := fleet.Host{Name: fmt.Sprint("h", i), Zone: fmt.Sprint("z", i%3), RelayAddress: "a", Weight: 0.2}
				if i%7 == 6 {
					h.Zone = "elsewhere"
				}
				c.hosts[h.Name] = h
				if i > 0 && regionOf(h.Zone) == "r0" {
					inHome++
				}
			}
			c.self = c.hosts["h0"]
			for n := 0; ; n++ {
				h, ok := chooseHelper(c, func() float64 { return 0.5 })
				if !ok {
					if n != inHome {
						t.Errorf("%d hosts, %d regions: %d helpers found, want all %d", hosts, regions, n, inHome)
					}
					break
				}
				if regionOf(h.Zone) != "r0" {
					t.Fatalf("%d hosts, %d regions: %s in %q is chosen", hosts, regions, h.Name, h.Zone)
				}
				c.tried[h.Name] = true
			}
		}
	}
}

// TestHomesOverCutsAndRestarts plays a fleet whose hosts of one region lose all engines, one hears nobody and others restart, and guards against
// any send or hop outside the homes. The control is that requests, with and without homes, are served.
func TestHomesOverCutsAndRestarts(t *testing.T) {
	for _, c := range []struct{ hosts, regions int }{{8, 1}, {8, 2}, {8, 3}, {70, 3}, {295, 2}} {
		synctest.Test(t, func(t *testing.T) {
			regions := c.regions
			f := newHomesFleet(t, c.hosts, regions)
			f.play(4*time.Second, 60, 0, "")
			var cut []int
			for i := 1; i < c.hosts; i += 3 { // the hosts of the second zone
				cut = append(cut, i)
			}
			f.cutOff(cutRefuse, cut...)
			f.play(2*time.Second, 60, 0, "")
			f.hosts[6].net.SetDown(true)
			f.killHost(0)
			f.play(3*time.Second, 60, 0, "")
			f.startHost(0)
			f.play(3*time.Second, 60, 0, "")
			f.endCuts()
			f.hosts[6].net.SetDown(false)
			healed := f.now()
			f.play(6*time.Second, 60, 0, "")
			time.Sleep(5 * time.Second)
			f.checkHomes()
			if share, n := f.shareBegun(healed+contactTime, f.now()); share < 0.95 {
				t.Errorf("%d regions: %.2f of %d requests began after the cut", regions, share, n)
			}
		})
	}
}
