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

// Client calls other hosts, over one connection to each. A connection on
// which a call got no answer is closed, so that a silent one is replaced by a
// fresh one at the next call.
type Client struct {
	self   ID
	secret string
	book   AddressResolver

	metrics tally.Scope
	traffic traffic

	mu    sync.Mutex
	links map[string]*link
}

// NewClient returns a client without connections.
func NewClient(self ID, secret string, book AddressResolver, metrics tally.Scope) *Client {
	return &Client{
		self: self, secret: secret, book: book,
		metrics: metrics, traffic: newTraffic(metrics), links: map[string]*link{},
	}
}

// link is the connection to one host. Its mutex serializes dialling.
type link struct {
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
	for _, l := range c.links {
		l.mu.Lock()
		if l.conn != nil {
			l.conn.Close()
		}
		l.mu.Unlock()
	}
	c.links = map[string]*link{}
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
	var f HandlerError
	if rpc.Data != nil && json.Unmarshal(*rpc.Data, &f) == nil && f.Code != "" {
		e.Code = f.Code
	}
	if rpc.Code == jsonrpc2.CodeMethodNotFound {
		e.Code = "method_not_found"
	}
	return e
}

func (c *Client) link(host string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[host]
	if l == nil {
		l = &link{}
		c.links[host] = l
	}
	return l
}

// connect returns the open connection to a host or makes one.
func (c *Client) connect(ctx context.Context, host string) (*jsonrpc2.Conn, error) {
	address, ok := c.book.PeerAddress(host)
	if !ok {
		return nil, &UnknownHostError{Host: host}
	}
	l := c.link(host)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.usable(address) {
		return l.conn, nil
	}
	conn, id, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	l.conn, l.address, l.id = conn, address, id
	return conn, nil
}

func (l *link) usable(address string) bool {
	if l.conn == nil || l.address != address {
		return false
	}
	select {
	case <-l.conn.DisconnectNotify():
		return false
	default:
		return true
	}
}

// refuseCalls answers calls that arrive on an outbound connection.
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
	var answer helloResult
	if err := conn.Call(ctx, methodHello, mine, &answer); err != nil {
		return ID{}, err
	}
	theirs := helloParams{ID: answer.ID, Nonce: answer.Nonce}
	if !sameProof(answer.Proof, proof(c.secret, "answerer", mine, theirs)) {
		return ID{}, &HandshakeError{Reason: "answerer's proof is wrong"}
	}
	err := conn.Call(ctx, methodProve, proveParams{Proof: proof(c.secret, "caller", mine, theirs)}, nil)
	if err != nil {
		return ID{}, err
	}
	return answer.ID, nil
}

// Interface checks.
var (
	_ Caller    = (*Client)(nil)
	_ Registrar = (*Server)(nil)
)
