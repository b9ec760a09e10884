// Package demo runs entry hosts and all stand-ins in one process on loopback
// and sends them real requests.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/app"
	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/member"
	"buckthornseam.dev/seam/internal/opclient"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/settings"
	"buckthornseam.dev/seam/internal/standin/engine"
	"buckthornseam.dev/seam/internal/standin/objectapi"
	"buckthornseam.dev/seam/internal/standin/service"
	"buckthornseam.dev/seam/internal/standin/weightstore"
)

// Token and secret of the demo. They guard nothing but loopback sockets.
const (
	operatorToken = "demo-operator-token"
	peerSecret    = "demo-peer-secret-0123456789"
)

// Cluster is a set of entry hosts with stand-ins for all outside systems.
type Cluster struct {
	Store    *objectapi.Store
	Weights  *weightstore.Store
	Engines  map[string]*engine.Engine
	Services map[string]*service.Service
	Hosts    []*Host

	cancel  context.CancelFunc
	wait    sync.WaitGroup
	servers []*http.Server
	targets []instance // template instances of the targets
}

// Host is one entry host of a Cluster.
type Host struct {
	App      *app.App
	Settings settings.Settings
	Admin    *opclient.Client
	Done     chan struct{} // closed when the host has shut down
}

// URL returns the address for callers.
func (h *Host) URL() string { return "http://" + h.Settings.Callers.Advertise }

// instance is a named template instance.
type instance struct {
	Name string
	config.Instance
}

// newInstance makes an instance from parameters that encode as JSON.
func newInstance(name, template string, params map[string]any) instance {
	raw := make(map[string]json.RawMessage, len(params))
	for k, v := range params {
		data, err := json.Marshal(v)
		if err != nil {
			panic(err) // the demo's own constants
		}
		raw[k] = data
	}
	return instance{Name: name, Instance: config.Instance{Template: template, Params: raw}}
}

// Options configure a Cluster.
type Options struct {
	Hosts      int
	Zones      []string
	Engines    int           // engines in pool "drafting", spread over the zones
	TokenDelay time.Duration // of each engine
	ReportLag  time.Duration // of each engine
	AnswerLife time.Duration // of entry answers, also the first part of a shutdown
	Log        logrus.FieldLogger
}

// Memory and load speed of the stand-ins.
const (
	engineMemory      = 80 << 30
	modelBytes        = 16 << 30
	weightBytesSecond = 40 << 30
)

// Start brings a cluster up and waits until all hosts are ready.
func Start(opts Options) (*Cluster, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Cluster{
		Store:    objectapi.NewStore(),
		Weights:  weightstore.New(weightstore.Options{LoadsPerSecond: 8, FullSpeed: 4, BytesPerSecond: weightBytesSecond}),
		Engines:  map[string]*engine.Engine{},
		Services: map[string]*service.Service{},
		cancel:   cancel,
	}
	if err := c.startTargets(opts); err != nil {
		c.Close()
		return nil, err
	}
	platformAddress, err := c.serve(objectapi.Handler(c.Store))
	if err != nil {
		c.Close()
		return nil, err
	}
	for i := range opts.Hosts {
		if err := c.startHost(ctx, i, platformAddress, opts); err != nil {
			c.Close()
			return nil, err
		}
	}
	for _, t := range c.targets {
		if _, err := c.submit(ctx, t); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, c.await(ctx, func(h *Host) bool { return h.App.Ready() })
}

// startTargets starts engines and a billing service.
func (c *Cluster) startTargets(opts Options) error {
	for i := range opts.Engines {
		name := fmt.Sprintf("engine-%d", i)
		e := engine.New(engine.Options{
			Name: name, MemoryBytes: engineMemory, ChecksFence: i%2 == 0,
			TokenDelay: opts.TokenDelay, ReportLag: opts.ReportLag, Fetch: c.Weights, CrashPrompts: CrashPrompt,
		})
		address, err := c.serve(e.Handler())
		if err != nil {
			return err
		}
		c.Engines[name] = e
		c.targets = append(c.targets, newInstance(name, "engine", map[string]any{
			"name": name, "address": address, "zone": opts.Zones[i%len(opts.Zones)], "pool": "drafting",
			"memory_bytes": int64(engineMemory), "checks_fence": i%2 == 0,
		}))
	}
	for _, name := range []string{"billing", "booking", "tariffs"} {
		s := service.New(name)
		address, err := c.serve(s)
		if err != nil {
			return err
		}
		c.Services[name] = s
		c.targets = append(c.targets, newInstance(name+"-0", "service-target", map[string]any{
			"name": name + "-0", "service": name, "address": address, "zone": opts.Zones[0],
		}))
	}
	return nil
}

// serve runs an HTTP server on loopback and returns its address.
func (c *Cluster) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", &app.ListenError{Address: "127.0.0.1:0", Cause: err}
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	c.servers = append(c.servers, s)
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		_ = s.Serve(l) // ends when the cluster is closed
	}()
	return l.Addr().String(), nil
}

func (c *Cluster) startHost(ctx context.Context, i int, platformAddress string, opts Options) error {
	s := settings.Defaults()
	s.Host = settings.Host{Name: fmt.Sprintf("host-%d", i), Zone: opts.Zones[i%len(opts.Zones)]}
	s.Callers.Listen, s.Peers.Listen, s.Admin.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Peers.Secret = peerSecret
	s.Admin.TokenHash = config.HashKey(operatorToken)
	s.Platform.URL = "http://" + platformAddress
	s.Requests.AnswerLifeMS = opts.AnswerLife.Milliseconds()
	l, err := app.Listen(s)
	if err != nil {
		return err
	}
	s.Callers.Advertise = l.Callers.Addr().String()
	s.Peers.Advertise = l.Peers.Addr().String()
	c.listHost(ctx, s, false)
	a, err := app.New(s, l, opts.Log)
	if err != nil {
		return err
	}
	h := &Host{App: a, Settings: s, Admin: opclient.New(l.Admin.Addr().String(), operatorToken), Done: make(chan struct{})}
	c.Hosts = append(c.Hosts, h)
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		defer close(h.Done)
		if err := a.Run(ctx); err != nil {
			opts.Log.WithField("event", "host_failed").Error(err.Error())
		}
	}()
	return nil
}

// listHost enters a host in the platform's list, as the platform does.
func (c *Cluster) listHost(ctx context.Context, s settings.Settings, leaving bool) {
	data, err := json.Marshal(member.HostEntry{
		Name: s.Host.Name, Zone: s.Host.Zone, Address: s.Callers.Advertise, PeerAddress: s.Peers.Advertise, Leaving: leaving,
	})
	if err != nil {
		panic(err) // the demo's own constants
	}
	obj := platform.Object{Kind: platform.KindHosts, Name: s.Host.Name, Data: data}
	if old, err := c.Store.Get(ctx, obj.Kind, obj.Name); err == nil {
		obj.Version = old.Version
	}
	_, _ = c.Store.Put(ctx, obj) // the in-process store is healthy
}

// submit applies an instance through the first host.
func (c *Cluster) submit(ctx context.Context, inst instance) (platform.Version, error) {
	out, err := c.Hosts[0].Admin.Put(ctx, inst.Name, 0, inst.Instance)
	return out.Version, err
}

// awaitLimit bounds the wait for all hosts to reach a state.
const awaitLimit = 10 * time.Second

// TimeoutError reports a state that was not reached.
type TimeoutError struct {
	Waited time.Duration
}

func (e *TimeoutError) Error() string { return fmt.Sprintf("state not reached within %s", e.Waited) }

// await waits until ok holds on all hosts.
func (c *Cluster) await(ctx context.Context, ok func(*Host) bool) error {
	ctx, cancel := context.WithTimeout(ctx, awaitLimit)
	defer cancel()
	for _, h := range c.Hosts {
		for !ok(h) {
			select {
			case <-ctx.Done():
				return &TimeoutError{Waited: awaitLimit}
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}

// AwaitVersion waits until a configuration version is in force on all hosts.
func (c *Cluster) AwaitVersion(ctx context.Context, v platform.Version) error {
	return c.await(ctx, func(h *Host) bool {
		s, err := h.Admin.Status(ctx)
		return err == nil && s.Version >= v
	})
}

// Close stops everything at once.
func (c *Cluster) Close() {
	c.cancel()
	for _, h := range c.Hosts {
		h.App.Stop()
	}
	for _, h := range c.Hosts {
		<-h.Done
	}
	for _, s := range c.servers {
		s.Close()
	}
	c.wait.Wait()
}
