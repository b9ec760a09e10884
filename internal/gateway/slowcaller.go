package gateway

import (
	"io"
	"math"
	"net/http"
	"time"

	"buckthornseam.dev/seam/internal/callerconn"
)

// beginResponse tells the caller's connection which request is served, and until when the caller may read nothing.
func (x *exchange) beginResponse(now time.Duration) {
	x.conn = callerconn.FromContext(x.r.Context())
	x.conn.BeginRequest(x.call.ID, time.Now().Add(x.deadline-now))
}

// readUntilDeadline reads the body of a request, of at most limit bytes. It fails with os.ErrDeadlineExceeded at the deadline of the
// request, and with *heldbytes.BoundError.
func (g *Gateway) readUntilDeadline(x *exchange, body io.Reader, limit int64) ([]byte, error) {
	if x.r.ContentLength == 0 {
		return nil, nil
	}
	conn := http.NewResponseController(x.w)
	_ = conn.SetReadDeadline(time.Now().Add(x.deadline - g.opts.Now())) // not supported in some tests
	g.holdBody(x, conn)
	if x.r.ContentLength > 0 {
		limit = min(limit, x.r.ContentLength)
	}
	data, err := readHeld(body, x.heldBody, int(min(limit, math.MaxInt-1)))
	if err != nil {
		err = boundOr(x.heldBody, err)
	}
	if err == nil {
		_ = conn.SetReadDeadline(time.Time{}) // as above
	}
	return data, err
}

// logSlowCaller adds to the request's log line how far the caller lagged behind, and whether it did not read on.
func (x *exchange) logSlowCaller() {
	if n := x.conn.MostHeld(); n > 0 {
		x.log["caller_unread_bytes"] = n
	}
	if reason := x.conn.Stalled(); reason != "" {
		x.log["reason"] = reason
	}
}
