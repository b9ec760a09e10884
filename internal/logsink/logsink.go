// Package logsink writes log lines without ever holding up who logs them.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
)

// lines is the number of lines that may wait: a second of the busiest host.
const lines = 4096

// Sink is an io.Writer of whole lines. Lines beyond what it can hold are
// dropped and counted; the count is written once there is room.
type Sink struct {
	queue   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// New returns a sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{queue: make(chan []byte, lines), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run(out)
	return s
}

// Write implements io.Writer; it never blocks and never fails.
func (s *Sink) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case s.queue <- line:
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes what waits and ends. What is written afterwards is lost.
func (s *Sink) Close() {
	close(s.stop)
	<-s.done
}

func (s *Sink) run(out io.Writer) {
	defer close(s.done)
	for {
		select {
		case line := <-s.queue:
			s.put(out, line)
		case <-s.stop:
			for len(s.queue) > 0 {
				s.put(out, <-s.queue)
			}
			return
		}
	}
}

func (s *Sink) put(out io.Writer, line []byte) {
	if n := s.dropped.Swap(0); n > 0 {
		fmt.Fprintf(out, "{\"event\":\"log_dropped\",\"level\":\"warning\",\"lines\":%d}\n", n)
	}
	_, _ = out.Write(line) // there is nowhere to tell of a log that can't be written
}
