// Package app assembles an entry host from its components.
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

// headerTimeout bounds the reading of a request's headers.
const headerTimeout = 10 * time.Second

// Listeners are the listening sockets of a host.
type Listeners struct {
	Callers net.Listener
	Peers   net.Listener
	Admin   net.Listener
}

// Listen opens the listeners at the addresses in the settings.
func Listen(s settings.Settings) (Listeners, error) {
	var l Listeners
	for _, each := range []struct {
		address string
		into    *net.Listener
	}{{s.Callers.Listen, &l.Callers}, {s.Peers.Listen, &l.Peers}, {s.Admin.Listen, &l.Admin}} {
		listener, err := net.Listen("tcp", each.address)
		if err != nil {
			l.Close()
			return Listeners{}, &ListenError{Address: each.address, Cause: err}
		}
		*each.into = listener
	}
	return l, nil
}

// Close closes the listeners that are open.
func (l Listeners) Close() {
	for _, each := range []net.Listener{l.Callers, l.Peers, l.Admin} {
		if each != nil {
			each.Close()
		}
	}
}

// ListenError reports a listener that could not be opened or that failed.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string { return "cannot listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// App is an entry host with its servers.
type App struct {
	settings   settings.Settings
	log        logrus.FieldLogger
	listeners  Listeners
	members    *member.View
	peers      *peer.Client
	peerServer *peer.Server
	core       *Core
	callers    *http.Server
	admin      *http.Server
	metrics    *observe.Metrics

	stopOnce sync.Once
	stop     chan struct{}
}

// New returns a host that serves on the listeners and takes ownership of them.
func New(s settings.Settings, l Listeners, log logrus.FieldLogger) (*App, error) {
	log = log.WithField("host", s.Host.Name)
	metrics := observe.NewMetrics()
	a := &App{settings: s, log: log, listeners: l, metrics: metrics, stop: make(chan struct{})}

	id := peer.ID{Name: s.Host.Name, Incarnation: uuid.NewString()}
	api := platform.NewClient(s.Platform.URL, platform.WithMetrics(metrics.Scope))
	self := peer.Member{ID: id, Zone: s.Host.Zone, Address: s.Callers.Advertise, PeerAddress: s.Peers.Advertise}
	a.peerServer = peer.NewServer(id, s.Peers.Secret, log, metrics.Scope)
	a.members = member.NewView(member.Options{Self: self, API: api, Registrar: a.peerServer, Log: log, Metrics: metrics.Scope})
	a.peers = peer.NewClient(id, s.Peers.Secret, a.members, metrics.Scope)
	a.members.SetCaller(a.peers)

	core, err := NewCore(Dependencies{
		Members: a.members, Caller: a.peers, Registrar: a.peerServer, API: api,
		Targets: target.NewClient(), Log: log, Metrics: metrics.Scope,
	}, s.Requests)
	if err != nil {
		return nil, err
	}
	a.core = core
	a.members.SetLoadSource(core.Handler.Load)
	adminHandler, err := admin.New(admin.Options{
		API: api, Config: core.Config, Members: a.members, TokenHash: s.Admin.TokenHash,
		Metrics: metrics.Handler, Ready: a.Ready, Log: log,
		Placement: core.Placer, Quarantine: core.Quarantine,
	})
	if err != nil {
		return nil, err
	}
	a.callers = &http.Server{Handler: core.Handler, ReadHeaderTimeout: headerTimeout}
	a.admin = &http.Server{Handler: adminHandler, ReadHeaderTimeout: headerTimeout}
	return a, nil
}

// Ready reports whether the host has opened, may act on its configuration and is not stopping.
func (a *App) Ready() bool {
	select {
	case <-a.stop:
		return false
	default:
		return a.core.Ready()
	}
}

// Run serves until Stop is called, then shuts down gracefully. If ctx ends it
// returns at once and aborts requests in progress.
func (a *App) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return a.core.Run(ctx) })
	group.Go(func() error { return a.members.Run(ctx) })
	group.Go(func() error { return a.peerServer.Serve(ctx, a.listeners.Peers) })
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

// Stop starts a graceful shutdown.
func (a *App) Stop() {
	a.stopOnce.Do(func() { close(a.stop) })
}

// shutdown removes the host from the entry host lists and keeps serving until
// the lists that callers hold have expired. It then refuses new requests and
// waits for those in progress.
func (a *App) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), milliseconds(a.settings.Requests.DrainMS))
	defer cancel()
	a.members.Leave()
	a.log.WithField("event", "host_stopping").Info("host is stopping and no longer listed as an entry host")
	select {
	case <-time.After(milliseconds(a.settings.Requests.HostListTTLMS)):
	case <-ctx.Done():
	}
	left := a.core.Shutdown(ctx)
	a.log.WithFields(logrus.Fields{"event": "host_stopped", "requests_left": left}).Info("host stopped")
	_ = a.callers.Shutdown(ctx) // requests that outlast the drain time are aborted; their number is logged above
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func serveHTTP(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); err != http.ErrServerClosed {
		return &ListenError{Address: l.Addr().String(), Cause: err}
	}
	return nil
}
