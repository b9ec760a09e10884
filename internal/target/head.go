package target

import "fmt"

// Each field of a header takes some hundred bytes of memory besides its own. A head of many short ones may take as much for them as a
// head of few long ones may have.
const (
	bytesPerField = 100
	maxHeadLines  = maxResponseHeaderBytes / bytesPerField
)

// LongHeadError reports the head of a response, with interim responses before it, that has too many lines and may have no end.
type LongHeadError struct {
	Limit int // in lines
}

func (e *LongHeadError) Error() string {
	return fmt.Sprintf("response has more than %d header lines", e.Limit)
}

// statusAt is the index of the status in the first line of a response.
const statusAt = len("HTTP/1.1 ")

// headLines counts the lines of the head of the only response on a connection.
type headLines struct {
	ended   bool
	lines   int
	length  int  // of the current line
	begun   bool // the first line of the current head is complete
	interim bool // a further head follows
}

// check counts the lines in received bytes. It fails with *LongHeadError.
func (h *headLines) check(p []byte) error {
	for _, b := range p {
		if h.ended {
			return nil
		}
		switch {
		case b == '\n':
			h.endLine()
		case b != '\r':
			if !h.begun && h.length == statusAt {
				h.interim = b == '1'
			}
			h.length++
		}
	}
	if h.lines > maxHeadLines {
		return &LongHeadError{Limit: maxHeadLines}
	}
	return nil
}

func (h *headLines) endLine() {
	h.lines++
	if h.length == 0 {
		h.ended, h.begun = !h.interim, false
	} else {
		h.begun = true
	}
	h.length = 0
}
