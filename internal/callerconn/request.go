package callerconn

import (
	"context"
	"errors"
	"net"
	"time"
)

type contextKey struct{}

// NewContext returns a context that carries the connection below c, if there is one. It is for http.Server.ConnContext.
func NewContext(ctx context.Context, c net.Conn) context.Context {
	for {
		switch conn := c.(type) {
		case *Conn:
			return context.WithValue(ctx, contextKey{}, conn)
		case interface{ NetConn() net.Conn }:
			c = conn.NetConn()
		default:
			return ctx
		}
	}
}

// FromContext returns the connection that a context carries, or nil. All methods named below accept nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// BeginRequest names the request that is served, and until when its caller may read nothing.
func (c *Conn) BeginRequest(id string, deadline time.Time) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.id, c.deadline, c.most = id, deadline, c.held()
}

// MostHeld returns the most bytes that the caller had not read during the request, without those in the kernel.
func (c *Conn) MostHeld() int {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.most
}

// Stalled returns why the connection was reset; empty: it was not.
func (c *Conn) Stalled() string {
	if c == nil {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var stalled *StalledError
	if errors.As(c.err, &stalled) {
		return stalled.Reason
	}
	return ""
}

// ResetAtEnd sets whether the connection ends with a reset. A response that is delimited by the end of its connection then
// does not look complete, also if this process ends.
func (c *Conn) ResetAtEnd(on bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setReset(on)
}
