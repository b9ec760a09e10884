// Package heldbytes bounds the bytes that a host holds of all messages that it has not passed on yet. Each message has a limit
// of its own, but a faulty sender may send hundreds without an end. When the bound is met, the sender that holds most yields: its
// largest message is given up.
package heldbytes

import (
	"context"
	"fmt"
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Bounds of the bytes.
const (
	memoryShare   = 8         // of a host's memory, one in this many bytes is for all messages together
	defaultMemory = 144 << 20 // of a host whose settings name no memory: the smallest in use
	// SmallBytes is what a message may hold in any case. Nearly all have less.
	SmallBytes = 64 << 10
	stepBytes  = 16 << 10 // bytes are counted in steps; a message below the first is not counted
)

// Bound returns the bound of all messages of a host in bytes, from its memory in MB. 0 or less means that the memory is not known.
func Bound(memoryMB int64) int64 {
	if memoryMB <= 0 {
		return defaultMemory / memoryShare
	}
	return memoryMB << 20 / memoryShare
}

// BoundError reports a message that was given up, as the bound of all messages was met. It is context.Canceled, as no fault of
// its sender was seen.
type BoundError struct {
	Sender string
	Bytes  int64 // of the message
	Bound  int64 // of all messages
}

func (e *BoundError) Error() string {
	return fmt.Sprintf("given up with %d bytes, as %s holds most of the %d bytes that all messages may", e.Bytes, e.Sender, e.Bound)
}

// Is reports whether target is context.Canceled.
func (*BoundError) Is(target error) bool { return target == context.Canceled }

// Pool counts the bytes of all messages.
type Pool struct {
	bound int64
	log   logrus.FieldLogger
	scope tally.Scope

	mu       sync.Mutex
	used     int64
	messages map[*Message]bool // that hold bytes and have not been given up
	senders  map[string]int64  // bytes by sender
}

// NewPool returns a pool of bound bytes. kind names its messages in logs and metrics.
func NewPool(bound int64, kind string, log logrus.FieldLogger, scope tally.Scope) *Pool {
	return &Pool{bound: bound, log: log.WithField("kind", kind), scope: scope.Tagged(map[string]string{"kind": kind}), messages: map[*Message]bool{}, senders: map[string]int64{}}
}

// Message is a message that is being received. Its methods, other than those that Pool calls, are for one goroutine.
type Message struct {
	pool       *Pool
	id, sender string
	cancel     context.CancelCauseFunc

	// The pool's mutex guards these. Only the message's own goroutine changes bytes.
	bytes    int64
	complete bool
	err      *BoundError // it was given up
}

// Begin returns a message of a sender that holds nothing yet. cancel ends its receipt if it is given up; it is not called after
// Complete, and must not call the pool.
func (p *Pool) Begin(id, sender string, cancel context.CancelCauseFunc) *Message {
	return &Message{pool: p, id: id, sender: sender, cancel: cancel}
}

// Fits reports whether a message of a size could be held now without another being given up.
func (p *Pool) Fits(size int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return size <= SmallBytes || p.used+size <= p.bound
}

// Hold records how many bytes the message holds now. It fails with *BoundError if the message has been given up or must be.
func (m *Message) Hold(n int) error {
	size := int64(n) / stepBytes * stepBytes
	if size == m.bytes {
		return nil
	}
	m.pool.mu.Lock()
	if m.err != nil {
		defer m.pool.mu.Unlock()
		return m.err
	}
	m.pool.set(m, size)
	given := m.pool.makeRoom()
	err := m.err
	m.pool.mu.Unlock()
	m.pool.report(given)
	if err != nil {
		return err
	}
	return nil
}

// Err returns a *BoundError if the message has been given up.
func (m *Message) Err() error {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	if m.err != nil {
		return m.err
	}
	return nil
}

// Complete records that the message has come whole. It is not given up any more.
func (m *Message) Complete() {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	m.complete = true
}

// End records that nothing of the message is held any more. It accepts nil.
func (m *Message) End() {
	if m == nil {
		return
	}
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	if m.err == nil {
		m.pool.set(m, 0)
	}
}

// set changes the bytes of a message. The caller must hold p.mu.
func (p *Pool) set(m *Message, size int64) {
	change := size - m.bytes
	m.bytes = size
	p.count(m, change)
	if size > 0 {
		p.messages[m] = true
	} else {
		delete(p.messages, m)
	}
}

// count adds to the counts of a message's bytes. The caller must hold p.mu.
func (p *Pool) count(m *Message, change int64) {
	if change == 0 {
		return
	}
	p.used += change
	if p.senders[m.sender] += change; p.senders[m.sender] <= 0 {
		delete(p.senders, m.sender)
	}
	p.scope.Gauge("held_bytes").Update(float64(p.used))
}

// makeRoom gives up messages until the others keep the bound, and returns them. Small and complete ones stay. The caller must
// hold p.mu.
func (p *Pool) makeRoom() []*Message {
	var given []*Message
	for p.used > p.bound {
		m := p.largest()
		if m == nil {
			break
		}
		m.err = &BoundError{Sender: m.sender, Bytes: m.bytes, Bound: p.bound}
		delete(p.messages, m)
		p.count(m, -m.bytes) // it is dropped as soon as its receipt has ended
		given = append(given, m)
	}
	return given
}

// largest returns the largest message of the sender that holds most, of those that may be given up. The caller must hold p.mu.
func (p *Pool) largest() *Message {
	var found *Message
	for m := range p.messages {
		if m.complete || m.bytes <= SmallBytes {
			continue
		}
		if found == nil || p.senders[m.sender] > p.senders[found.sender] || m.sender == found.sender && m.bytes > found.bytes {
			found = m
		}
	}
	return found
}

// report ends the receipt of messages that are given up.
func (p *Pool) report(given []*Message) {
	for _, m := range given {
		p.scope.Counter("messages_given_up").Inc(1)
		p.log.WithFields(logrus.Fields{"event": "message_given_up", "id": m.id, "sender": m.sender, "bytes": m.err.Bytes, "bound": p.bound}).Warn("the messages in receipt take too much memory")
		p.mu.Lock()
		if !m.complete { // by now
			m.cancel(m.err)
		}
		p.mu.Unlock()
	}
}
