package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/uber-go/tally/v4"
)

// Timeouts of a client.
const (
	dialTimeout = time.Second
	callTimeout = 2 * time.Second // for calls whose ctx has no earlier deadline
)

// AddressResolver finds the peer address of a host.
type AddressResolver interface {
	PeerAddress(host string) (address string, ok bool)
}

// Client calls other hosts over one connection to each. A connection on which a call
// got no reply is closed, so that the next call opens a new one; a call that its caller
// canceled leaves the connection open.
type Client struct {
	self      ID
	secret    string
	addresses AddressResolver

	metrics tally.Scope
	traffic traffic

	mu    sync.Mutex
	conns map[string]*hostConn
}

// NewClient returns a client, which connects to a host when it first calls it.
func NewClient(self ID, secret string, addresses AddressResolver, metrics tally.Scope) *Client {
	return &Client{
		self: self, secret: secret, addresses: addresses,
		metrics: metrics, traffic: newTraffic(metrics), conns: map[string]*hostConn{},
	}
}

// hostConn is the connection to one host. Its mutex serializes dialing.
type hostConn struct {
	mu      sync.Mutex
	address string
	conn    *jsonrpc2.Conn
	id      ID
}

// UnknownHostError reports a host without a known address.
type UnknownHostError struct {
	Host string
}

func (e *UnknownHostError) Error() string { return "no address known for host " + e.Host }

// Call implements Caller.
func (c *Client) Call(ctx context.Context, host, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := c.connect(ctx, host)
	if err != nil {
		return &UnreachableError{Host: host, Cause: err}
	}
	callCounter(c.metrics, method).Inc(1)
	err = conn.Call(ctx, method, params, result)
	return c.classify(host, method, conn, err)
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.conns {
		h.mu.Lock()
		if h.conn != nil {
			h.conn.Close()
		}
		h.mu.Unlock()
	}
	c.conns = map[string]*hostConn{}
}

func (c *Client) classify(host, method string, conn *jsonrpc2.Conn, err error) error {
	if err == nil {
		return nil
	}
	var rpc *jsonrpc2.Error
	if errors.As(err, &rpc) {
		return remoteError(host, method, rpc)
	}
	if !errors.Is(err, context.Canceled) {
		conn.Close()
	}
	return &UnknownOutcomeError{Host: host, Method: method, Cause: err}
}

func remoteError(host, method string, rpc *jsonrpc2.Error) error {
	e := &RemoteError{Host: host, Method: method, Code: "failed", Message: rpc.Message}
	var failure HandlerError
	if rpc.Data != nil && json.Unmarshal(*rpc.Data, &failure) == nil && failure.Code != "" {
		e.Code = failure.Code
	}
	if rpc.Code == jsonrpc2.CodeMethodNotFound {
		e.Code = "method_not_found"
	}
	return e
}

func (c *Client) hostConn(host string) *hostConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.conns[host]
	if h == nil {
		h = &hostConn{}
		c.conns[host] = h
	}
	return h
}

// connect returns the open connection to a host or opens one.
func (c *Client) connect(ctx context.Context, host string) (*jsonrpc2.Conn, error) {
	address, ok := c.addresses.PeerAddress(host)
	if !ok {
		return nil, &UnknownHostError{Host: host}
	}
	h := c.hostConn(host)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.usable(address) {
		return h.conn, nil
	}
	conn, id, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	h.conn, h.address, h.id = conn, address, id
	return conn, nil
}

func (h *hostConn) usable(address string) bool {
	if h.conn == nil || h.address != address {
		return false
	}
	select {
	case <-h.conn.DisconnectNotify():
		return false
	default:
		return true
	}
}

// refuseCalls rejects calls that arrive on an outbound connection.
type refuseCalls struct{}

func (refuseCalls) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !req.Notif {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method})
	}
}

func (c *Client) dial(ctx context.Context, address string) (*jsonrpc2.Conn, ID, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, ID{}, err
	}
	// The connection outlives the call that opened it.
	conn := jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewBufferedStream(&countedConn{Conn: raw, traffic: c.traffic}, codec{}), refuseCalls{})
	id, err := c.handshake(ctx, conn)
	if err != nil {
		conn.Close()
		return nil, ID{}, err
	}
	return conn, id, nil
}

func (c *Client) handshake(ctx context.Context, conn *jsonrpc2.Conn) (ID, error) {
	mine := helloParams{ID: c.self, Nonce: newNonce()}
	var reply helloResult
	if err := conn.Call(ctx, methodHello, mine, &reply); err != nil {
		return ID{}, err
	}
	theirs := helloParams{ID: reply.ID, Nonce: reply.Nonce}
	if !sameProof(reply.Proof, proof(c.secret, "answerer", mine, theirs)) {
		return ID{}, &HandshakeError{Reason: "server's proof is wrong"}
	}
	err := conn.Call(ctx, methodProve, proveParams{Proof: proof(c.secret, "caller", mine, theirs)}, nil)
	if err != nil {
		return ID{}, err
	}
	return reply.ID, nil
}

// Interface checks.
var (
	_ Caller    = (*Client)(nil)
	_ Registrar = (*Server)(nil)
)
