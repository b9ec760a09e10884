// Package app wires the duties of one entry host together.
package app

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"buckthornseam.dev/seam/internal/admin"
	"buckthornseam.dev/seam/internal/member"
	"buckthornseam.dev/seam/internal/observe"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/settings"
	"buckthornseam.dev/seam/internal/target"
)

// headTimeout bounds the reading of a request's head.
const headTimeout = 10 * time.Second

// Listeners are the sockets of a host.
type Listeners struct {
	Callers net.Listener
	Peers   net.Listener
	Admin   net.Listener
}

// Listen opens the sockets that the settings name.
func Listen(s settings.Settings) (Listeners, error) {
	var l Listeners
	for _, each := range []struct {
		address string
		into    *net.Listener
	}{{s.Callers.Listen, &l.Callers}, {s.Peers.Listen, &l.Peers}, {s.Admin.Listen, &l.Admin}} {
		opened, err := net.Listen("tcp", each.address)
		if err != nil {
			l.Close()
			return Listeners{}, &ListenError{Address: each.address, Cause: err}
		}
		*each.into = opened
	}
	return l, nil
}

// Close closes the sockets that are open.
func (l Listeners) Close() {
	for _, each := range []net.Listener{l.Callers, l.Peers, l.Admin} {
		if each != nil {
			each.Close()
		}
	}
}

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string { return "cannot listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// App is one entry host.
type App struct {
	settings  settings.Settings
	log       logrus.FieldLogger
	listeners Listeners
	members   *member.View
	peers     *peer.Client
	peerServe *peer.Server
	core      *Core
	callers   *http.Server
	admin     *http.Server
	metrics   *observe.Metrics

	stopOnce sync.Once
	stop     chan struct{}
}

// New wires a host. It takes over the listeners.
func New(s settings.Settings, l Listeners, log logrus.FieldLogger) (*App, error) {
	log = log.WithField("host", s.Host.Name)
	metrics := observe.NewMetrics()
	a := &App{settings: s, log: log, listeners: l, metrics: metrics, stop: make(chan struct{})}

	id := peer.ID{Name: s.Host.Name, Incarnation: uuid.NewString()}
	api := platform.NewClient(s.Platform.URL, platform.WithMetrics(metrics.Scope))
	self := peer.Member{ID: id, Zone: s.Host.Zone, Address: s.Callers.Advertise, PeerAddress: s.Peers.Advertise}
	a.peerServe = peer.NewServer(id, s.Peers.Secret, log, metrics.Scope)
	a.members = member.NewView(member.Options{Self: self, API: api, Registrar: a.peerServe, Log: log, Metrics: metrics.Scope})
	a.peers = peer.NewClient(id, s.Peers.Secret, a.members, metrics.Scope)
	a.members.SetCaller(a.peers)

	core, err := NewCore(Dependencies{
		Members: a.members, Caller: a.peers, Registrar: a.peerServe, API: api,
		Targets: target.NewClient(), Log: log, Metrics: metrics.Scope,
	}, s.Requests)
	if err != nil {
		return nil, err
	}
	a.core = core
	a.members.SetLoadSource(core.Handler.Load)
	operators, err := admin.New(admin.Options{
		API: api, Config: core.Config, Members: a.members, TokenHash: s.Admin.TokenHash,
		Metrics: metrics.Handler, Ready: a.Ready, Log: log,
		Placement: core.Placer, Quarantine: core.Quarantine,
	})
	if err != nil {
		return nil, err
	}
	a.callers = &http.Server{Handler: core.Handler, ReadHeaderTimeout: headTimeout}
	a.admin = &http.Server{Handler: operators, ReadHeaderTimeout: headTimeout}
	return a, nil
}

// Ready reports whether the host has a configuration.
func (a *App) Ready() bool { return a.core.Ready() }

// Run serves until Stop is called, then shuts down gracefully. If ctx ends it
// returns at once and cuts what is in progress.
func (a *App) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return a.core.Run(ctx) })
	group.Go(func() error { return a.members.Run(ctx) })
	group.Go(func() error { return a.peerServe.Serve(ctx, a.listeners.Peers) })
	group.Go(func() error { return serveHTTP(a.callers, a.listeners.Callers) })
	group.Go(func() error { return serveHTTP(a.admin, a.listeners.Admin) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-a.stop:
			a.shutdown()
		}
		a.callers.Close()
		a.admin.Close()
		cancel()
		return nil
	})
	a.log.WithFields(logrus.Fields{"event": "host_started", "callers": a.settings.Callers.Advertise}).Info("host started")
	err := group.Wait()
	a.peers.Close()
	a.metrics.Close()
	return err
}

// Stop begins a graceful shutdown.
func (a *App) Stop() {
	a.stopOnce.Do(func() { close(a.stop) })
}

// shutdown leaves the entry answers, serves for as long as callers keep them,
// then refuses new requests and waits for those in progress.
func (a *App) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), milliseconds(a.settings.Requests.DrainMS))
	defer cancel()
	a.members.Leave()
	a.log.WithField("event", "host_stopping").Info("host leaves the entry answers")
	select {
	case <-time.After(milliseconds(a.settings.Requests.AnswerLifeMS)):
	case <-ctx.Done():
	}
	left := a.core.Shutdown(ctx)
	a.log.WithFields(logrus.Fields{"event": "host_stopped", "requests_left": left}).Info("host stopped")
	_ = a.callers.Shutdown(ctx) // what is left after the drain time is cut, and was logged
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func serveHTTP(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); err != http.ErrServerClosed {
		return &ListenError{Address: l.Addr().String(), Cause: err}
	}
	return nil
}
