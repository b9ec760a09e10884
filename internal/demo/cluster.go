// Package demo runs entry hosts and stand-ins for all outside systems in one
// process on loopback addresses, sends requests and checks the outcomes.
package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/adminclient"
	"buckthornseam.dev/seam/internal/app"
	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/settings"
)

// Token and secret of the demo, which protect loopback sockets only.
const (
	operatorToken = "demo-operator-token"
	peerSecret    = "demo-peer-secret-0123456789"
)

// Cluster is a set of entry hosts with stand-ins for all outside systems.
type Cluster struct {
	*StandIns
	Hosts []*Host

	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// Host is one entry host of a Cluster.
type Host struct {
	App      *app.App
	Settings settings.Settings
	Admin    *adminclient.Client
	Done     chan struct{} // closed when the host has shut down
}

// URL returns the base URL for callers.
func (h *Host) URL() string { return "http://" + h.Settings.Callers.Advertise }

// Options configure a Cluster.
type Options struct {
	Hosts       int
	Zones       []string
	Engines     int           // engines in pool "drafting", spread over the zones
	TokenDelay  time.Duration // time that engines take for each token
	ReportLag   time.Duration // age of the reports that engines return
	HostListTTL time.Duration // time for which callers may cache the host list; a shutdown waits as long
	Log         logrus.FieldLogger
}

// drainMS bounds the shutdown of a host. It is short because all hosts stop at
// once here and no host is left to take over their work.
const drainMS = 1000

// Start starts a cluster and waits until all hosts are ready.
func Start(opts Options) (*Cluster, error) {
	standIns, err := StartStandIns(StandInOptions{
		Zones: opts.Zones, Engines: opts.Engines, TokenDelay: opts.TokenDelay, ReportLag: opts.ReportLag,
		LoadsPerSecond: demoLoadsPerSecond, BytesPerSecond: demoBytesPerSecond,
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Cluster{StandIns: standIns, cancel: cancel}
	for i := range opts.Hosts {
		if err := c.startHost(ctx, i, opts); err != nil {
			c.Close()
			return nil, err
		}
	}
	for _, t := range c.Targets {
		if _, err := c.putInstance(ctx, t); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, c.await(ctx, func(h *Host) bool { return h.App.Ready() })
}

func (c *Cluster) startHost(ctx context.Context, i int, opts Options) error {
	s := settings.Defaults()
	s.Host = settings.Host{Name: fmt.Sprintf("host-%d", i), Zone: opts.Zones[i%len(opts.Zones)]}
	s.Callers.Listen, s.Peers.Listen, s.Admin.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Peers.Secret = peerSecret
	s.Admin.TokenHash = config.HashKey(operatorToken)
	s.Platform.URL = "http://" + c.PlatformAddress
	s.Requests.HostListTTLMS = opts.HostListTTL.Milliseconds()
	s.Requests.DrainMS = drainMS
	l, err := app.Listen(s)
	if err != nil {
		return err
	}
	s.Callers.Advertise = l.Callers.Addr().String()
	s.Peers.Advertise = l.Peers.Addr().String()
	c.RegisterHost(ctx, s, false)
	a, err := app.New(s, l, opts.Log)
	if err != nil {
		return err
	}
	h := &Host{App: a, Settings: s, Admin: adminclient.New(l.Admin.Addr().String(), operatorToken), Done: make(chan struct{})}
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

// putInstance creates an instance through the first host and returns its version.
func (c *Cluster) putInstance(ctx context.Context, inst Instance) (platform.Version, error) {
	out, err := c.Hosts[0].Admin.Put(ctx, inst.Name, 0, inst.Instance)
	return out.Version, err
}

// awaitTimeout bounds the wait for all hosts to reach a state.
const awaitTimeout = 10 * time.Second

// TimeoutError reports that the hosts did not reach an expected state in time.
type TimeoutError struct {
	Waited time.Duration
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("hosts did not reach the expected state within %s", e.Waited)
}

// await waits until ok returns true for every host.
func (c *Cluster) await(ctx context.Context, ok func(*Host) bool) error {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	for _, h := range c.Hosts {
		for !ok(h) {
			select {
			case <-ctx.Done():
				return &TimeoutError{Waited: awaitTimeout}
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}

// AwaitVersion waits until all hosts have applied a configuration version or a
// later one.
func (c *Cluster) AwaitVersion(ctx context.Context, v platform.Version) error {
	return c.await(ctx, func(h *Host) bool {
		s, err := h.Admin.Status(ctx)
		return err == nil && s.Version >= v
	})
}

// Close stops all hosts gracefully, then the stand-ins.
func (c *Cluster) Close() {
	for _, h := range c.Hosts {
		h.App.Stop()
	}
	for _, h := range c.Hosts {
		<-h.Done
	}
	c.cancel()
	c.StandIns.Close()
	c.wait.Wait()
}
