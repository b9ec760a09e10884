package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/acceptretry"
	"buckthornseam.dev/seam/internal/panics"
)

// handlerTimeout limits the execution of one call.
const handlerTimeout = 10 * time.Second

// JSON-RPC error codes of this protocol.
const (
	rpcFailed          = 1
	rpcUnauthenticated = 2
)

// HandlerError is returned by a Handler to set the Code of the caller's RemoteError.
type HandlerError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func (e *HandlerError) Error() string { return e.Code + ": " + e.Message }

// Server handles calls of other hosts.
type Server struct {
	self   ID
	secret string
	log    logrus.FieldLogger

	traffic traffic

	mu       sync.Mutex
	handlers map[string]Handler
	conns    map[*jsonrpc2.Conn]struct{}
}

// NewServer returns a server. Self identifies this run of the daemon; secret is shared
// by all hosts.
func NewServer(self ID, secret string, log logrus.FieldLogger, metrics tally.Scope) *Server {
	return &Server{
		self:     self,
		secret:   secret,
		log:      log,
		traffic:  newTraffic(metrics),
		handlers: map[string]Handler{},
		conns:    map[*jsonrpc2.Conn]struct{}{},
	}
}

// Handle implements Registrar.
func (s *Server) Handle(method string, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[method] = h
}

// Serve accepts connections until ctx ends, then closes them all.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		s.closeAll()
	})
	defer stop()
	l = acceptretry.Listener{Listener: l, Log: s.log}
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return &ListenError{Cause: err}
		}
		s.serveConn(ctx, conn)
	}
}

// ListenError reports a listener that failed.
type ListenError struct {
	Cause error
}

func (e *ListenError) Error() string { return "peer listener failed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	stream := jsonrpc2.NewBufferedStream(&countedConn{Conn: conn, traffic: s.traffic}, codec{})
	session := &session{server: s}
	rpc := jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(session))
	s.mu.Lock()
	s.conns[rpc] = struct{}{}
	s.mu.Unlock()
	go func() {
		<-rpc.DisconnectNotify()
		s.mu.Lock()
		delete(s.conns, rpc)
		s.mu.Unlock()
	}()
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func (s *Server) handler(method string) Handler {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handlers[method]
}

// session is one inbound connection.
type session struct {
	server *Server

	mu       sync.Mutex
	caller   helloParams
	answerer helloParams
	proven   bool
}

// Handle implements jsonrpc2.Handler.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := s.dispatch(ctx, req)
	if req.Notif {
		return
	}
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, rpcError(err)) // fails only if the connection is closed
		return
	}
	_ = conn.Reply(ctx, req.ID, result)
}

func (s *session) dispatch(ctx context.Context, req *jsonrpc2.Request) (result any, err error) {
	defer panics.Recover(s.server.log, "handler of "+req.Method, func() { result, err = nil, &HandlerError{Code: "panicked", Message: req.Method} })
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	switch req.Method {
	case methodHello:
		return s.hello(params)
	case methodProve:
		return s.prove(params)
	}
	from, err := s.authenticated()
	if err != nil {
		return nil, err
	}
	h := s.server.handler(req.Method)
	if h == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	ctx, cancel := context.WithTimeout(ctx, handlerTimeout)
	defer cancel()
	return h(ctx, from, params)
}

func (s *session) hello(params json.RawMessage) (any, error) {
	var p helloParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, &HandshakeError{Reason: "malformed hello"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proven = false
	s.caller = p
	s.answerer = helloParams{ID: s.server.self, Nonce: newNonce()}
	return helloResult{
		ID:    s.answerer.ID,
		Nonce: s.answerer.Nonce,
		Proof: proof(s.server.secret, "answerer", s.caller, s.answerer),
	}, nil
}

func (s *session) prove(params json.RawMessage) (any, error) {
	var p proveParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, &HandshakeError{Reason: "malformed proof"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answerer.Nonce == "" || !sameProof(p.Proof, proof(s.server.secret, "caller", s.caller, s.answerer)) {
		return nil, &HandshakeError{Reason: "wrong proof"}
	}
	s.proven = true
	return struct{}{}, nil
}

func (s *session) authenticated() (ID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.proven {
		return ID{}, &HandshakeError{Reason: "call before proof"}
	}
	return s.caller.ID, nil
}

func rpcError(err error) *jsonrpc2.Error {
	var rpc *jsonrpc2.Error
	if errors.As(err, &rpc) {
		return rpc
	}
	var handshake *HandshakeError
	if errors.As(err, &handshake) {
		return &jsonrpc2.Error{Code: rpcUnauthenticated, Message: err.Error()}
	}
	failure := &HandlerError{Code: "failed", Message: err.Error()}
	_ = errors.As(err, &failure)
	out := &jsonrpc2.Error{Code: rpcFailed, Message: failure.Message}
	out.SetError(failure)
	return out
}
