// Package demo runs entry hosts and all stand-ins in one process on loopback
// and sends them real requests.
package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/app"
	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/opclient"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/settings"
)

// Token and secret of the demo. They guard nothing but loopback sockets.
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
	Admin    *opclient.Client
	Done     chan struct{} // closed when the host has shut down
}

// URL returns the address for callers.
func (h *Host) URL() string { return "http://" + h.Settings.Callers.Advertise }

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

// drainMS bounds the shutdown of a host. All hosts stop at once here and find
// nobody to hand over to.
const drainMS = 1000

// Start brings a cluster up and waits until all hosts are ready.
func Start(opts Options) (*Cluster, error) {
	standIns, err := StartStandIns(StandInOptions{
		Zones: opts.Zones, Engines: opts.Engines, TokenDelay: opts.TokenDelay, ReportLag: opts.ReportLag,
		LoadsPerSecond: demoLoadsPerSecond, BytesPerSecond: weightBytesSecond,
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
		if _, err := c.submit(ctx, t); err != nil {
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
	s.Requests.HostListTTLMS = opts.AnswerLife.Milliseconds()
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

// submit applies an instance through the first host.
func (c *Cluster) submit(ctx context.Context, inst Instance) (platform.Version, error) {
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
