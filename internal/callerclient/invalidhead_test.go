package callerclient

import (
	"slices"
	"testing"

	"buckthornseam.dev/seam/internal/standin/rawserver"
)

// callWithHead sends a request to a host whose response has a head; its version is left out.
func callWithHead(t *testing.T, head string) error {
	t.Helper()
	s := rawserver.Start(t, rawserver.Response{Text: "HTTP/1.1 " + head + "\r\nContent-Length: 5\r\n\r\nwhole"})
	_, err := call(t, ModeTwo, s.Address, nil)
	if s.Requests() != 1 {
		t.Errorf("%q: %d requests, want one", head, s.Requests())
	}
	return err
}

// TestInvalidHeads guards against a program getting a response whose head is none.
func TestInvalidHeads(t *testing.T) {
	for _, head := range slices.Concat(rawserver.InvalidStatuses, rawserver.InvalidFields) {
		if err := callWithHead(t, head); err == nil {
			t.Errorf("%q: got a response", head)
		}
	}
	for _, head := range rawserver.OddHeads {
		if err := callWithHead(t, head); err != nil {
			t.Errorf("%q: %v", head, err)
		}
	}
}
