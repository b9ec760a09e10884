package heldbytes

import (
	"errors"
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

const testBound = 4 << 20

// begin returns a message that holds some bytes. It adds the id to given if the message is given up.
func begin(p *Pool, id, sender string, bytes int, given map[string]error) *Message {
	m := p.Begin(id, sender, func(cause error) { given[id] = cause })
	_ = m.Hold(bytes) // the tests look at given
	return m
}

func newTestPool() (*Pool, map[string]error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewPool(testBound, "test", log, tally.NoopScope), map[string]error{}
}

// TestSenderThatHoldsMostYields guards against a sound message, also the largest of all, being given up for a sender that has many.
func TestSenderThatHoldsMostYields(t *testing.T) {
	p, given := newTestPool()
	begin(p, "sound", "b", 2<<20, given)
	for i := range 4 {
		begin(p, fmt.Sprint("garbage ", i), "a", 500<<10+i*stepBytes, given)
	}
	last := begin(p, "garbage 4", "a", 400<<10, given)
	var bound *BoundError
	if len(given) != 1 || !errors.As(given["garbage 3"], &bound) || bound.Sender != "a" {
		t.Errorf("given up: %v, want only the largest of a", given)
	}
	if err := last.Hold(1 << 20); !errors.As(err, &bound) || p.used > testBound {
		t.Errorf("newest message of a has become the largest: error %v, %d bytes held", err, p.used)
	}
	last.End()
	if want := int64(1536 << 10); p.senders["a"] != want || p.used != want+2<<20 {
		t.Errorf("%d bytes are counted, %d of a, want %d of a and those of b", p.used, p.senders["a"], want)
	}
}

// TestSmallAndCompleteMessagesStay guards against small messages, or those that have come whole, being given up for large ones.
func TestSmallAndCompleteMessagesStay(t *testing.T) {
	p, given := newTestPool()
	for i := range 2 {
		begin(p, fmt.Sprint("whole ", i), "a", 2<<20, given).Complete()
	}
	for i := range 100 {
		if err := begin(p, fmt.Sprint("small ", i), "a", SmallBytes, given).Hold(SmallBytes); err != nil {
			t.Fatal(err)
		}
	}
	if err := begin(p, "large", "b", 0, given).Hold(2 * SmallBytes); err == nil {
		t.Error("a large message is held beyond the bound")
	}
	if len(given) != 1 || p.Fits(2*SmallBytes) || !p.Fits(SmallBytes) {
		t.Errorf("given up: %v, want only the large one; a large one fits: %v", given, p.Fits(2*SmallBytes))
	}
}
