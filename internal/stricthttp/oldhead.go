package stricthttp

import (
	"bytes"
	"sync"
)

// oldHead keeps the head of a response that is older than HTTP/1.1, as received: net/http drops a transfer encoding from it, and reads the
// body as if it had none.
type oldHead struct {
	mu    sync.Mutex
	text  []byte
	ended bool // the response is not older, or was judged
}

const (
	currentVersion  = "HTTP/1.1"
	maxOldHeadBytes = 64 << 10
	encodingHeader  = "Transfer-Encoding"
)

// add keeps received bytes.
func (h *oldHead) add(p []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return
	}
	if len(h.text) > 0 { // the version may have come in parts
		p = append(h.text, p...)
	}
	if bytes.HasPrefix(p, []byte(currentVersion)) || len(p) > maxOldHeadBytes {
		h.text, h.ended = nil, true
		return
	}
	h.text = bytes.Clone(p)
}

// takeEncoded reports whether the head has a transfer encoding. Nothing is kept any more.
func (h *oldHead) takeEncoded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	text := h.text
	h.text, h.ended = nil, true
	for line := range bytes.Lines(text) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch {
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return false
		case bytes.EqualFold(name, []byte(encodingHeader)):
			return true
		}
	}
	return false
}
