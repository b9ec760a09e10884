package gateway

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/target"
)

// unreachableSender reaches no target until a time.
type unreachableSender struct {
	until time.Time
	slowSender
}

// Forward implements Sender.
func (s *unreachableSender) Forward(ctx context.Context, address string, f target.ForwardRequest, idOf target.ResponseIDFunc) (*target.ForwardResponse, error) {
	if time.Now().Before(s.until) {
		return nil, &target.UnreachableError{Cause: errors.New("connection refused")}
	}
	return s.slowSender.Forward(ctx, address, f, idOf)
}

// TestUnreachableTargetsDoNotHoldARequest guards against a host that tries targets which refuse connections again and again after the
// request's deadline, so that its caller never gets a response.
func TestUnreachableTargetsDoNotHoldARequest(t *testing.T) {
	const bound = 5500 * time.Millisecond // half a second after the timeout of the routes
	synctest.Test(t, func(t *testing.T) {
		for path, model := range map[string]string{"/pay/x": "", "/stream/x": "m"} {
			began := time.Now()
			g := testGateway(&unreachableSender{until: began.Add(time.Minute), slowSender: slowSender{sentAt: map[string]time.Time{}}})
			if code, took := post(g, path, model).Code, time.Since(began); code != http.StatusServiceUnavailable || took > bound {
				t.Errorf("%s: status %d after %v, want 503 within %v", path, code, took, bound)
			}
		}
	})
}
