package gateway

import (
	"testing"
	"time"

	"buckthornseam.dev/seam/internal/target"
)

// TestSilentTargetKeepsARequestThatTheOthersDeclineLate guards against responses that are ended since another target, itself silent for a
// moment, declines the request only after hedgeWait.
func TestSilentTargetKeepsARequestThatTheOthersDeclineLate(t *testing.T) {
	for name, late := range map[string]time.Duration{"control, at once": 0, "late": 400 * time.Millisecond} {
		for place, c := range silenceCases {
			runInBubble(t, name+", "+place, func(t *testing.T) {
				s := decliningSender{&pausingSender{at: c.at, first: longPause}, func(f target.ForwardRequest) (*target.ForwardResponse, error) {
					time.Sleep(late)
					return shed(f)
				}}
				began := time.Now()
				if w := post(testGateway(s), c.path, c.model); w.Body.String() != wholeStream() {
					t.Errorf("status %d, aborted %q, body %q after %v", w.Code, w.Header().Get("Aborted"), w.Body.String(), time.Since(began))
				}
			})
		}
	}
}
