package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"buckthornseam.dev/seam/internal/app"
	"buckthornseam.dev/seam/internal/member"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/settings"
	"buckthornseam.dev/seam/internal/standin/engine"
	"buckthornseam.dev/seam/internal/standin/objectapi"
	"buckthornseam.dev/seam/internal/standin/service"
	"buckthornseam.dev/seam/internal/standin/weightstore"
)

// StandInOptions configure the stand-ins.
type StandInOptions struct {
	Listen         string // IP:port of the object API; empty for any free loopback port
	Zones          []string
	Engines        int           // engines in pool "drafting", spread over the zones
	TokenDelay     time.Duration // time that engines take for each token
	ReportLag      time.Duration // age of the reports that engines return
	LoadsPerSecond float64       // loads that the weight store starts in a second
	BytesPerSecond float64       // speed of one load at full speed
}

// Memory and load speed of the stand-ins.
const (
	engineMemoryBytes  = 80 << 30
	modelBytes         = 16 << 30
	demoBytesPerSecond = 40 << 30
	fullSpeedLoads     = 4
	demoLoadsPerSecond = 8
)

// StandIns are stand-ins for all outside systems, on loopback addresses.
type StandIns struct {
	Store           *objectapi.Store
	Weights         *weightstore.Store
	Engines         map[string]*engine.Engine
	Services        map[string]*service.Service
	PlatformAddress string     // IP:port of the object API
	Targets         []Instance // template instances of engines and service targets

	wait    sync.WaitGroup
	servers []*http.Server
}

// StartStandIns starts all stand-ins.
func StartStandIns(opts StandInOptions) (*StandIns, error) {
	s := &StandIns{
		Store: objectapi.NewStore(),
		Weights: weightstore.New(weightstore.Options{
			LoadsPerSecond: opts.LoadsPerSecond, FullSpeedLoads: fullSpeedLoads, BytesPerSecond: opts.BytesPerSecond,
		}),
		Engines:  map[string]*engine.Engine{},
		Services: map[string]*service.Service{},
	}
	if err := s.startTargets(opts); err != nil {
		s.Close()
		return nil, err
	}
	listen := opts.Listen
	if listen == "" {
		listen = anyLoopbackPort
	}
	var err error
	s.PlatformAddress, err = s.serveAt(listen, objectapi.Handler(s.Store))
	if err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// startTargets starts engines and services.
func (s *StandIns) startTargets(opts StandInOptions) error {
	for i := range opts.Engines {
		if err := s.startEngine(fmt.Sprintf("engine-%d", i), i, opts); err != nil {
			return err
		}
	}
	for i, name := range []string{"billing", "booking", "tariffs"} {
		svc := service.New(name)
		address, err := s.serve(svc)
		if err != nil {
			return err
		}
		s.Services[name] = svc
		s.Targets = append(s.Targets, newInstance(name+"-0", "service-target", map[string]any{
			"name": name + "-0", "service": name, "address": address, "zone": opts.Zones[i%len(opts.Zones)],
		}))
	}
	return nil
}

// startEngine starts one engine. Every second engine ignores fencing tokens.
func (s *StandIns) startEngine(name string, i int, opts StandInOptions) error {
	fenced := i%2 == 0
	e := engine.New(engine.Options{
		Name: name, MemoryBytes: engineMemoryBytes, ChecksFence: fenced,
		TokenDelay: opts.TokenDelay, ReportLag: opts.ReportLag, Fetch: s.Weights, CrashPrompt: CrashPrompt,
	})
	address, err := s.serve(e.Handler())
	if err != nil {
		return err
	}
	s.Engines[name] = e
	s.Targets = append(s.Targets, newInstance(name, "engine", map[string]any{
		"name": name, "address": address, "zone": opts.Zones[i%len(opts.Zones)], "pool": "drafting",
		"memory_bytes": int64(engineMemoryBytes), "checks_fence": fenced, "slots": engineSlots,
	}))
	return nil
}

// engineSlots is the number of requests an engine runs at once.
const engineSlots = 64

const anyLoopbackPort = "127.0.0.1:0"

// serve runs an HTTP server on any loopback port and returns its address.
func (s *StandIns) serve(h http.Handler) (string, error) { return s.serveAt(anyLoopbackPort, h) }

func (s *StandIns) serveAt(listen string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return "", &app.ListenError{Address: listen, Cause: err}
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, server)
	s.wait.Go(func() {
		_ = server.Serve(l) // ends when the stand-ins are closed
	})
	return l.Addr().String(), nil
}

// RegisterHost adds a host to the platform's host list or updates its entry, as the
// platform itself does.
func (s *StandIns) RegisterHost(ctx context.Context, of settings.Settings, leaving bool) {
	data, err := json.Marshal(member.HostEntry{
		Name: of.Host.Name, Zone: of.Host.Zone, Address: of.Callers.Advertise, PeerAddress: of.Peers.Advertise, Leaving: leaving,
	})
	if err != nil {
		panic(err) // strings and a bool always encode
	}
	obj := platform.Object{Kind: platform.KindHosts, Name: of.Host.Name, Data: data}
	if old, err := s.Store.Get(ctx, obj.Kind, obj.Name); err == nil {
		obj.Version = old.Version
	}
	_, _ = s.Store.Put(ctx, obj) // no faults are set on the in-process store
}

// Loads returns how often engines loaded a model.
func (s *StandIns) Loads(model string) int {
	n := 0
	for _, e := range s.Engines {
		n += e.Stats().LoadsByModel[model]
	}
	return n
}

// KeysSeen returns the number of requests to targets that contained a credential.
func (s *StandIns) KeysSeen() int {
	n := 0
	for _, e := range s.Engines {
		n += e.Stats().KeysSeen
	}
	for _, svc := range s.Services {
		n += svc.KeysSeen()
	}
	return n
}

// Close stops all stand-ins.
func (s *StandIns) Close() {
	for _, server := range s.servers {
		server.Close()
	}
	s.wait.Wait()
}
