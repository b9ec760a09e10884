package platform

import (
	"fmt"
	"io"
)

// maxEventBytes limits one event of a watch: a value and what describes it.
const maxEventBytes = 2 * MaxObjectBytes

// OversizedEventError reports an event of a watch that may have no end.
type OversizedEventError struct {
	Limit int // in bytes
}

func (e *OversizedEventError) Error() string {
	return fmt.Sprintf("event has more than %d bytes", e.Limit)
}

// eventReader limits the bytes that are read for one event. It fails with *OversizedEventError.
type eventReader struct {
	body io.Reader
	left int
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{body: body, left: maxEventBytes}
}

// next begins a further event.
func (r *eventReader) next() { r.left = maxEventBytes }

// Read implements io.Reader.
func (r *eventReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, &OversizedEventError{Limit: maxEventBytes}
	}
	n, err := r.body.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
