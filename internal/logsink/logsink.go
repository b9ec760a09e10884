// Package logsink writes log lines asynchronously, so that logging never blocks.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
)

// queueLines is the capacity of the queue: a second of the busiest host's lines.
const queueLines = 4096

// Sink is an io.Writer that expects one complete line per write. It drops and
// counts lines while its queue is full, and writes the count before the next line, or at its end.
type Sink struct {
	queue   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// New returns a sink that writes to out until it is closed.
func New(out io.Writer) *Sink {
	s := &Sink{queue: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run(out)
	return s
}

// Write implements io.Writer. It never blocks and never fails.
func (s *Sink) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case s.queue <- line:
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes the queued lines and stops the sink. Later lines are lost.
func (s *Sink) Close() {
	close(s.stop)
	<-s.done
}

func (s *Sink) run(out io.Writer) {
	defer close(s.done)
	for {
		select {
		case line := <-s.queue:
			s.writeLine(out, line)
		case <-s.stop:
			for len(s.queue) > 0 {
				s.writeLine(out, <-s.queue)
			}
			s.writeDropped(out)
			return
		}
	}
}

func (s *Sink) writeLine(out io.Writer, line []byte) {
	s.writeDropped(out)
	_, _ = out.Write(line) // there is no place to report a failing log
}

func (s *Sink) writeDropped(out io.Writer) {
	if n := s.dropped.Swap(0); n > 0 {
		fmt.Fprintf(out, "{\"event\":\"log_dropped\",\"level\":\"warning\",\"lines\":%d}\n", n)
	}
}
