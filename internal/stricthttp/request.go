package stricthttp

import "sync"

// requestState tells whether a request was written, and keeps what is needed of the head of its response.
type requestState struct {
	head  oldHead
	ended chan struct{} // closed once it was written, or can't be

	mu     sync.Mutex
	closed bool
	err    error
}

// end records that the request was written, or why it can't be written whole. A failure may follow a success, as the last bytes are
// written after net/http has reported the request as written.
func (r *requestState) end(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
	}
	if !r.closed {
		r.closed = true
		close(r.ended)
	}
}

// failure returns why the request can't be written whole; nil: nothing is known of that.
func (r *requestState) failure() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}
