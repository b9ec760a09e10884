package streamorigin

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/peer"
)

// Limits of the outbox.
const (
	maxPendingPerHost = 1024 // records beyond it are dropped
	readyHosts        = 1024 // hosts with records to send; further ones wait for their next record
	sendTimeout       = 500 * time.Millisecond
)

// outbox sends records to other hosts, one call at a time to each.
type outbox struct {
	calls peer.Caller
	log   logrus.FieldLogger
	ready chan string // hosts that have pending records and no call in progress

	mu      sync.Mutex
	pending map[string][]record
	queued  map[string]bool // hosts that are in ready or have a call in progress
}

func newOutbox(calls peer.Caller, log logrus.FieldLogger) *outbox {
	return &outbox{calls: calls, log: log, ready: make(chan string, readyHosts), pending: map[string][]record{}, queued: map[string]bool{}}
}

func (o *outbox) add(host string, rec record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending[host]) >= maxPendingPerHost {
		return
	}
	o.pending[host] = append(o.pending[host], rec)
	o.enqueue(host)
}

// enqueue announces a host with pending records. The caller must hold o.mu.
func (o *outbox) enqueue(host string) {
	if o.queued[host] {
		return
	}
	select {
	case o.ready <- host:
		o.queued[host] = true
	default:
	}
}

// send starts a call with all pending records of a host.
func (o *outbox) send(ctx context.Context, host string) {
	o.mu.Lock()
	recs := o.pending[host]
	delete(o.pending, host)
	o.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		if err := o.calls.Call(ctx, host, methodStore, recs, nil); err != nil {
			// The record has another copy, so it is not sent again.
			o.log.WithFields(logrus.Fields{"event": "stream_records_lost", "peer": host, "records": len(recs)}).Warn(err.Error())
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.queued, host)
		if len(o.pending[host]) > 0 {
			o.enqueue(host)
		}
	}()
}
