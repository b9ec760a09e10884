package gateway

import (
	"io"
	"net"
	"net/http"
	"time"

	"buckthornseam.dev/seam/internal/heldbytes"
	"buckthornseam.dev/seam/internal/target"
)

// firstReadBytes is the first size of the buffer for a body whose length is not known. Most bodies fit.
const firstReadBytes = 4 << 10

// holdResponse counts what is held of a response from now on. The response is that of the send that silence watches. The caller must
// call End.
func (g *Gateway) holdResponse(x *exchange, sender string, silence *silenceWatch) *heldbytes.Message {
	return g.opts.Held.Begin(x.call.ID, sender, silence.cancel)
}

// buffers reports whether a plain response is read whole before any of it is sent to the caller.
func (g *Gateway) buffers(resp *target.ForwardResponse) bool {
	return resp.Length <= maxBufferedBytes && g.opts.Held.Fits(resp.Length)
}

// readBuffered reads a body of at most maxBufferedBytes. It fails with *OversizedResponseError, with *heldbytes.BoundError, or as
// the read did.
func readBuffered(r io.Reader, held *heldbytes.Message) ([]byte, error) {
	body, err := readHeld(r, held, maxBufferedBytes)
	if err == nil && len(body) > maxBufferedBytes {
		err = &OversizedResponseError{Part: "body", Limit: maxBufferedBytes}
	}
	return body, err
}

// readHeld reads until the end, or one byte more than most. It fails with *heldbytes.BoundError, or as the read did.
func readHeld(r io.Reader, held *heldbytes.Message, most int) ([]byte, error) {
	body := make([]byte, 0, min(firstReadBytes, most+1))
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			held.Complete()
			return body, nil
		case err != nil:
			return body, boundOr(held, err)
		case len(body) > most:
			return body, nil
		case len(body) == cap(body):
			size := min(2*cap(body), most+1)
			if err := held.Hold(size); err != nil {
				return body, err
			}
			body = append(make([]byte, 0, size), body...)
		}
	}
}

// holdBody counts what is held of the body of a request until the request ends.
func (g *Gateway) holdBody(x *exchange, conn *http.ResponseController) {
	caller, _, err := net.SplitHostPort(x.r.RemoteAddr)
	if err != nil {
		caller = x.r.RemoteAddr
	}
	x.heldBody = g.opts.HeldBodies.Begin(x.call.ID, caller, func(error) {
		_ = conn.SetReadDeadline(time.Now()) // otherwise the body is given up with its next bytes
	})
}

// boundOr returns why a message was given up, or else err, with which its read has failed.
func boundOr(held *heldbytes.Message, err error) error {
	if bound := held.Err(); bound != nil {
		return bound
	}
	return err
}

// holdEvents counts what is held of a stream after a read that returned events and ended with err.
func holdEvents(x *exchange, held *heldbytes.Message, events []byte, err error) error {
	switch err {
	case nil:
		return held.Hold(cap(x.events.buf) + len(events))
	case io.EOF:
		return err
	}
	return boundOr(held, err)
}

// dropEvents drops an incomplete event of a stream that is not read on.
func dropEvents(x *exchange, held *heldbytes.Message) {
	x.events.reset()
	held.End()
}
