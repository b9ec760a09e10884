package config

import (
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/peer/peertest"
	"buckthornseam.dev/seam/internal/platform"
)

// pausingWatch is a watch whose reader stands still for a time, as if its process were frozen. What comes meanwhile is queued.
type pausingWatch struct {
	events chan platform.Event
	pause  atomic.Int64 // nanoseconds for which the reader stands still before it reads next
}

func (w *pausingWatch) Events() <-chan platform.Event {
	time.Sleep(time.Duration(w.pause.Swap(0)))
	return w.events
}

func (*pausingWatch) Err() error { return nil }
func (*pausingWatch) Stop()      {}

func (w *pausingWatch) bookmark() {
	w.events <- platform.Event{Type: platform.EventBookmark, Object: platform.Object{Version: 9}}
}

// newStoreOfPair returns the store of one of two hosts, which goes on by the object API's confirmations only.
func newStoreOfPair(t *testing.T) *Store {
	network := peertest.New(1)
	host := network.Add(peer.Member{ID: peer.ID{Name: "host-0", Incarnation: "1"}, Zone: "zone-0"})
	network.Add(peer.Member{ID: peer.ID{Name: "host-1", Incarnation: "1"}, Zone: "zone-0"})
	return newIdleStoreOf(t, host, nil)
}

// TestBookmarksThatWaitedDuringAFreezeConfirmNothing guards against a host that goes on after a freeze and takes the configuration
// for current by bookmarks that are as old as the freeze: keys withdrawn since would work for StaleAfter longer.
func TestBookmarksThatWaitedDuringAFreezeConfirmNothing(t *testing.T) {
	for range 20 { // an ended timer and a queued event are chosen between at random
		synctest.Test(t, func(t *testing.T) {
			s := newStoreOfPair(t)
			w := &pausingWatch{events: make(chan platform.Event, 8)}
			ended := make(chan error, 1)
			go func() { ended <- s.applyEvents(t.Context(), w) }()
			w.bookmark()
			time.Sleep(time.Second)
			if !s.Accepting() {
				t.Fatal("a bookmark that was read at once confirms nothing")
			}
			w.pause.Store(int64(StaleAfter + time.Second))
			w.bookmark()
			time.Sleep(time.Second)
			w.bookmark()
			time.Sleep(StaleAfter + time.Second)
			if s.Accepting() {
				t.Error("requests are accepted by bookmarks that waited for longer than StaleAfter")
			}
			var silent *SilentWatchError
			if err := <-ended; !errors.As(err, &silent) {
				t.Errorf("the watch ended with %v, want it replaced by one on a fresh connection", err)
			}
		})
	}
}

// TestBookmarksInTimeKeepAWatch is the control: pauses shorter than the silence that ends a watch change nothing.
func TestBookmarksInTimeKeepAWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoreOfPair(t)
		w := &pausingWatch{events: make(chan platform.Event, 8)}
		ended := make(chan error, 1)
		go func() { ended <- s.applyEvents(t.Context(), w) }()
		for range 20 {
			w.pause.Store(int64(watchIdleTimeout / 4))
			w.bookmark()
			time.Sleep(time.Second)
			if !s.Accepting() || len(ended) > 0 {
				t.Fatal("a watch with bookmarks each second was given up")
			}
		}
	})
}
