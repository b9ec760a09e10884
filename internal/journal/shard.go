package journal

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	core "buckthornseam.dev/coord/journal"
	"buckthornseam.dev/seam/internal/platform"
)

// message is an input of a shard's goroutine. One of begin, finish, preload,
// release and flushed is set.
type message struct {
	begin   *core.Begin
	finish  *core.Finish
	preload bool
	release bool
	flushed chan struct{}   // closed once no change waits to be written
	reply   chan core.Reply // capacity 1
}

// shard runs the core of one shard in its own goroutine.
type shard struct {
	j         *Journal
	number    int
	core      *core.Shard
	inbox     chan message
	results   chan core.Result
	lastStats atomic.Pointer[core.Stats]

	refs    uint64
	replies map[uint64]chan core.Reply
	flushes []chan struct{}
}

func newShard(j *Journal, number int) *shard {
	cfg := j.opts.Shard
	cfg.Name = fmt.Sprintf("shard-%03d", number)
	cfg.Owner = j.self.String()
	s := &shard{
		j: j, number: number, core: core.New(cfg),
		inbox:   make(chan message, inboxSize),
		results: make(chan core.Result, 1),
		replies: map[uint64]chan core.Reply{},
	}
	s.lastStats.Store(&core.Stats{})
	return s
}

// submit queues a message; it returns false if the queue is full.
func (s *shard) submit(m message) bool {
	select {
	case s.inbox <- m:
		return true
	default:
		return false
	}
}

func (s *shard) stats() core.Stats { return *s.lastStats.Load() }

// release unloads the shard if it is loaded.
func (s *shard) release(ctx context.Context) {
	if !s.stats().Loaded {
		return
	}
	select {
	case s.inbox <- message{release: true}:
	case <-ctx.Done():
	}
}

// flush waits until all changes are written or ctx ends.
func (s *shard) flush(ctx context.Context) {
	done := make(chan struct{})
	select {
	case s.inbox <- message{flushed: done}:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// run handles the shard's inputs until ctx ends.
func (s *shard) run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case m := <-s.inbox:
			s.handle(m)
			s.handleWaiting()
		case r := <-s.results:
			s.core.Result(s.j.now(), r)
		case <-timer.C:
			s.core.Tick(s.j.now())
		case <-ctx.Done():
			s.core.Release(s.j.now())
			s.handleReady(ctx, timer)
			return nil
		}
		s.handleReady(ctx, timer)
	}
}

// handleWaiting handles all messages in the queue, so that their changes share
// one write.
func (s *shard) handleWaiting() {
	for range len(s.inbox) {
		s.handle(<-s.inbox)
	}
}

func (s *shard) handle(m message) {
	now := s.j.now()
	s.refs++
	if m.reply != nil {
		s.replies[s.refs] = m.reply
	}
	switch {
	case m.begin != nil:
		m.begin.Ref = s.refs
		s.core.Begin(now, *m.begin)
	case m.finish != nil:
		m.finish.Ref = s.refs
		s.core.Finish(now, *m.finish)
	case m.preload:
		s.core.Preload(now)
	case m.release:
		s.core.Release(now)
	case m.flushed != nil:
		s.flushes = append(s.flushes, m.flushed)
	}
}

// handleReady sends the replies of the core, makes its next call and sets the
// timer.
func (s *shard) handleReady(ctx context.Context, timer *time.Timer) {
	ready := s.core.Ready()
	for _, r := range ready.Replies {
		if r.Verdict == core.Granted {
			s.j.metrics.granted.Inc(1)
		}
		if reply, ok := s.replies[r.Ref]; ok {
			reply <- r // never blocks: each channel has capacity 1 and gets one reply
			delete(s.replies, r.Ref)
		}
	}
	if ready.Op != nil && ctx.Err() == nil {
		go s.call(ctx, *ready.Op)
	}
	if ready.Wake > 0 {
		timer.Reset(max(0, ready.Wake-s.j.now()))
	} else {
		timer.Reset(time.Hour)
	}
	if ready.Idle {
		for _, done := range s.flushes {
			close(done)
		}
		s.flushes = nil
	}
	s.publish()
}

// publish stores the state for stats and logs when this host has taken the
// shard over or no longer owns it.
func (s *shard) publish() {
	now := s.core.Stats()
	was := s.stats()
	s.lastStats.Store(&now)
	if now.Claimed == was.Claimed {
		return
	}
	event := "journal_shard_claimed"
	if !now.Claimed {
		event = "journal_shard_given_up"
	}
	s.j.opts.Log.WithFields(logrus.Fields{
		"event": event, "shard": s.number, "epoch": max(now.Epoch, was.Epoch),
		"entries": now.Entries, "segments": now.Segments,
	}).Info("journal shard changed owner")
}

// call makes one object API call and passes its outcome to run.
func (s *shard) call(ctx context.Context, op core.Op) {
	limited, cancel := context.WithTimeout(ctx, s.j.opts.APITimeout)
	defer cancel()
	begin := time.Now()
	r := s.perform(limited, op)
	s.j.metrics.apiTime.RecordDuration(time.Since(begin))
	r.Seq = op.Seq
	select {
	case s.results <- r:
	case <-ctx.Done():
	}
}

func (s *shard) perform(ctx context.Context, op core.Op) core.Result {
	api := s.j.opts.API
	var obj platform.Object
	var err error
	switch op.Kind {
	case core.OpGet:
		obj, err = api.Get(ctx, platform.KindJournals, op.Name)
	case core.OpPut:
		s.j.metrics.writes.Inc(1)
		obj, err = api.Put(ctx, platform.Object{
			Kind: platform.KindJournals, Name: op.Name, Version: platform.Version(op.Version), OpID: op.OpID, Data: op.Data,
		})
	case core.OpDelete:
		err = s.remove(ctx, op.Name)
	}
	if err != nil {
		return core.Result{Status: status(err)}
	}
	return core.Result{Status: core.StatusOK, Version: uint64(obj.Version), OpID: obj.OpID, Data: obj.Data}
}

// remove deletes a segment that the head no longer lists.
func (s *shard) remove(ctx context.Context, name string) error {
	obj, err := s.j.opts.API.Get(ctx, platform.KindJournals, name)
	if err != nil {
		return err
	}
	return s.j.opts.API.Delete(ctx, platform.KindJournals, name, obj.Version)
}

// status classifies the error of a failed call. If the call may have had an
// effect, the status is unknown.
func status(err error) core.Status {
	var notFound *platform.NotFoundError
	var conflict *platform.ConflictError
	var unavailable *platform.UnavailableError
	var invalid *platform.InvalidError
	switch {
	case errors.As(err, &notFound):
		return core.StatusNotFound
	case errors.As(err, &conflict):
		return core.StatusConflict
	case errors.As(err, &unavailable), errors.As(err, &invalid):
		return core.StatusUnavailable
	}
	return core.StatusUnknown
}
