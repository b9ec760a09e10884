package platformhost

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"buckthornseam.dev/seam/internal/acceptretry"
	"buckthornseam.dev/seam/internal/bootclock"
	"buckthornseam.dev/seam/internal/callerconn"
	"buckthornseam.dev/seam/internal/ctxsleep"
	"buckthornseam.dev/seam/internal/framing"
)

// server is one HTTP server with its listener.
type server struct {
	*http.Server
	listener net.Listener
	tcp      net.Listener // the innermost one
	// ofCallers is set if the connections belong to the pool of those of callers.
	ofCallers bool
}

func (s server) run() error {
	if err := s.Serve(s.listener); err != http.ErrServerClosed && !errors.Is(err, net.ErrClosed) {
		return &ServeError{Address: s.listener.Addr().String(), Cause: err}
	}
	return nil
}

// closeServers ends the servers, after a short time for connections that wait to be accepted, for requests that have just
// arrived and for responses on their way.
func closeServers(servers []server, callers *callerconn.Pool) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	callers.BeginStop()
	var group errgroup.Group
	for _, s := range servers {
		group.Go(func() error {
			if !s.ofCallers {
				if s.Shutdown(ctx) == nil {
					return nil
				}
				return s.Close()
			}
			for waitingConns(s.tcp) > 0 && ctxsleep.Sleep(ctx, acceptCheckPeriod) {
			}
			_ = s.listener.Close() // the server closes it too
			// Shutdown would have the server drop the requests that it reads from now on.
			s.SetKeepAlivesEnabled(false)
			for callers.Busy() > 0 && ctxsleep.Sleep(ctx, busyCheckPeriod) {
			}
			return s.Close()
		})
	}
	_ = group.Wait() // the sockets are closed all the same
}

// busyCheckPeriod is a fraction of shutdownTimeout.
const busyCheckPeriod = 2 * time.Millisecond

// acceptCheckPeriod is a fraction of the time that the kernel takes for a connection between hosts.
const acceptCheckPeriod = 200 * time.Microsecond

// waitingConns returns the number of connections that wait to be accepted; the kernel resets them when the listener is closed.
func waitingConns(l net.Listener) int {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0 // closed
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { // fails only on a closed listener
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = int(info.Unacked) // of a listener: the length of the accept queue
		}
	})
	return n
}

// ServeError reports a server that could not start or has failed.
type ServeError struct {
	Address string
	Cause   error
}

func (e *ServeError) Error() string { return "server at " + e.Address + " ended: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ServeError) Unwrap() error { return e.Cause }

// Limits of the HTTP servers, which are above those of any configuration.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// endpoint is an address with what serves it.
type endpoint struct {
	address      string
	handler      http.Handler
	checkFraming bool // of requests, before they are parsed
}

func (h *Host) servers() ([]server, error) {
	ready, directory, metrics := mux.NewRouter(), mux.NewRouter(), mux.NewRouter()
	ready.HandleFunc(h.adapter.ReadyPath, h.serveReady).Methods(http.MethodGet)
	directory.HandleFunc(h.adapter.DirectoryPath, h.serveDirectory).Methods(http.MethodGet)
	metrics.Handle(h.adapter.MetricsPath, h.metrics.Handler).Methods(http.MethodGet)
	var out []server
	endpoints := []endpoint{
		{h.settings.Listen.Callers, h.gateway, true},
		{h.settings.Listen.Ready, ready, false},
		{h.settings.Listen.Directory, directory, false},
		{net.JoinHostPort(h.settings.IP, strconv.Itoa(h.settings.MetricsPort)), metrics, false},
	}
	if h.self.RelayAddress != "" {
		endpoints = append(endpoints, endpoint{h.self.RelayAddress, h.gateway.RelayHandler(), true})
	}
	for _, s := range endpoints {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return nil, &ServeError{Address: s.address, Cause: err}
		}
		tcp := l
		l = acceptretry.Listener{Listener: l, Log: h.log}
		if s.checkFraming {
			l = framing.Listener{Listener: callerconn.Listener{Listener: l, Pool: h.callers}, MaxHeaderBytes: maxHeaderBytes}
		}
		out = append(out, server{&http.Server{
			Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnContext: callerconn.NewContext,
		}, l, tcp, s.checkFraming})
	}
	return out, nil
}

func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ready reports whether callers may use this host.
func (h *Host) ready() bool {
	select {
	case <-h.stopping:
		return false
	default:
	}
	config, ok := h.currentConfig()
	return ok && len(h.view.Targets().ByID) > 0 && bootclock.Now()-config.CurrentAt < h.settings.Bounds.Revoke
}

// directoryTTL is the TTL of directory responses. Some callers keep a response
// for three times its TTL, and none of these may still list a stopping host when
// its grace period ends.
const directoryTTL = 2 * time.Second

func (h *Host) serveDirectory(w http.ResponseWriter, r *http.Request) {
	ttl := directoryTTL
	if limit := h.settings.Bounds.DirectoryTTLMax; limit > 0 {
		ttl = min(ttl, limit)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(h.adapter.Codec.DirectoryResponse(h.directory.Addresses(h.adapter.Codec.DirectoryLookup(r)), ttl))
}
