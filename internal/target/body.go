package target

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// body is the body of a response. Read returns io.EOF only if the body is complete;
// any other end is an *UnknownOutcomeError.
type body struct {
	ctx         context.Context
	e           *exchange
	body        io.ReadCloser
	undelimited bool
	watchdog    *time.Timer // nil without an idle timeout
	closeOnce   sync.Once
}

func newBody(ctx context.Context, e *exchange, resp *http.Response) *body {
	b := &body{ctx: ctx, e: e, body: resp.Body}
	chunked := len(resp.TransferEncoding) > 0
	b.undelimited = resp.ContentLength < 0 && !chunked && resp.Body != http.NoBody
	if e.idleTimeout > 0 {
		b.watchdog = time.AfterFunc(e.idleTimeout, func() { e.cancel(&IdleTimeoutError{After: e.idleTimeout}) })
	}
	return b
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if n > 0 && b.watchdog != nil {
		b.watchdog.Reset(b.e.idleTimeout)
	}
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF && b.undelimited:
		return n, &UnknownOutcomeError{Address: b.e.address, Cause: &UndelimitedResponseError{}}
	case err == io.EOF:
		b.stop()
		return n, io.EOF
	}
	return n, &UnknownOutcomeError{Address: b.e.address, Cause: asMalformed(b.ctx, b.e.cause(b.ctx, err))}
}

// Close ends the exchange. If the body was not read to its end, the connection is
// closed too, so that the rest is never read as part of another response.
func (b *body) Close() error {
	var err error
	b.closeOnce.Do(func() {
		b.stop()
		b.e.cancel(nil)
		err = b.body.Close()
	})
	return err
}

func (b *body) stop() {
	if b.watchdog != nil {
		b.watchdog.Stop()
	}
}
