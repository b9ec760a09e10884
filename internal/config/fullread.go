package config

import (
	"context"
	"encoding/json"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/vmap"

	"buckthornseam.dev/seam/internal/peer"
)

// handlePage replies with one page of a full read.
func (s *Store) handlePage(_ context.Context, _ peer.ID, params json.RawMessage) (any, error) {
	var r pageRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, &MessageError{Method: methodPage, Cause: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Pages < 1 {
		r.Pages = 1 + s.objects.Len()/objectsPerPage
	}
	return s.objects.Page(r.Index, r.Pages), nil
}

// readFull reads the whole state of a host. Only one full read runs at a time.
func (s *Store) readFull(ctx context.Context, host string) {
	if !s.beginFullRead() {
		return
	}
	defer s.endFullRead()
	s.stats.fullReads.Inc(1)
	fields := logrus.Fields{"event": "config_full_reading", "peer": host}
	objects, floor, err := s.readPages(ctx, host)
	if err != nil {
		s.opts.Log.WithFields(fields).WithError(err).Warn("full read from a peer failed")
		return
	}
	// Changes made while the pages were read are in a delta since the first
	// page. Without that delta, the state is not complete at any version.
	delta, err := s.deltaSince(ctx, host, floor)
	if err != nil || delta == nil {
		s.opts.Log.WithFields(fields).WithError(err).Warn("full read from a peer not completed")
		return
	}
	s.merge(func() []vmap.Applied[json.RawMessage] {
		applied := s.objects.Replace(floor, objects)
		return append(applied, s.objects.Merge(*delta)...)
	})
	s.opts.Log.WithFields(fields).WithField("floor", floor).Info("configuration read from a peer")
}

func (s *Store) beginFullRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fullReadRunning {
		return false
	}
	s.fullReadRunning = true
	return true
}

func (s *Store) endFullRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fullReadRunning = false
}

func (s *Store) readPages(ctx context.Context, host string) ([]vmap.Change[json.RawMessage], uint64, error) {
	var objects []vmap.Change[json.RawMessage]
	var floor uint64
	request := pageRequest{}
	for {
		page, err := s.readPage(ctx, host, request)
		if err != nil {
			return nil, 0, err
		}
		if request.Index == 0 {
			floor = page.Floor
		}
		objects = append(objects, page.Objects...)
		request = pageRequest{Index: request.Index + 1, Pages: page.Pages}
		if request.Index >= page.Pages {
			return objects, floor, nil
		}
	}
}

func (s *Store) readPage(ctx context.Context, host string, r pageRequest) (vmap.Page[json.RawMessage], error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var page vmap.Page[json.RawMessage]
	err := s.opts.Caller.Call(ctx, host, methodPage, r, &page)
	return page, err
}

// deltaSince asks a host for its changes after floor. It returns nil if the host's log
// does not reach back that far.
func (s *Store) deltaSince(ctx context.Context, host string, floor uint64) (*vmap.Delta[json.RawMessage], error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := syncRequest{Digest: vmap.Digest{Floor: floor}}
	var reply syncReply
	if err := s.opts.Caller.Call(ctx, host, methodSync, request, &reply); err != nil {
		return nil, err
	}
	return reply.Delta, nil
}
