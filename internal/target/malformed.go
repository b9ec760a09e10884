package target

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
)

// MalformedResponseError reports bytes that are not an HTTP response.
type MalformedResponseError struct {
	Cause error
}

func (e *MalformedResponseError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *MalformedResponseError) Unwrap() error { return e.Cause }

// asMalformed wraps the error of an exchange unless it is that of its connection, or of the end of its context. The errors of net/http for
// malformed responses have no types of their own.
func asMalformed(ctx context.Context, err error) error {
	var ofConn net.Error
	var ofKernel syscall.Errno
	if ctx.Err() != nil || errors.As(err, &ofConn) || errors.As(err, &ofKernel) {
		return err
	}
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, context.Canceled, context.DeadlineExceeded} {
		if errors.Is(err, end) {
			return err
		}
	}
	return &MalformedResponseError{Cause: err}
}
