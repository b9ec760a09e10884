// Package thin holds simple, single-host forms of the duties, used until the
// full form of each is wired in.
package thin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/refusal"
)

// retryInterval is the wait before a failed list or watch is tried again.
const retryInterval = 200 * time.Millisecond

// Store follows the template instances of the object API.
type Store struct {
	api       platform.API
	templates map[string]*config.Template
	log       logrus.FieldLogger
	snapshot  atomic.Pointer[config.Snapshot]
}

// NewStore returns a store with an empty snapshot.
func NewStore(api platform.API, log logrus.FieldLogger) (*Store, error) {
	templates, err := config.Templates()
	if err != nil {
		return nil, err
	}
	s := &Store{api: api, templates: templates, log: log}
	s.snapshot.Store(config.NewSnapshot(0, config.Entities{}))
	return s, nil
}

// Snapshot implements config.Source.
func (s *Store) Snapshot() *config.Snapshot { return s.snapshot.Load() }

// Run follows the object API until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.follow(ctx); err != nil {
			s.log.WithField("event", "config_watch_ended").Warn(err.Error())
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
		}
	}
	return nil
}

func (s *Store) follow(ctx context.Context) error {
	list, err := s.api.List(ctx, platform.KindInstances)
	if err != nil {
		return err
	}
	objects := map[string]platform.Object{}
	for _, o := range list.Items {
		objects[o.Name] = o
	}
	s.apply(list.Version, objects)
	w, err := s.api.Watch(ctx, platform.KindInstances, list.Version)
	if err != nil {
		return err
	}
	defer w.Stop()
	for e := range w.Events() {
		switch e.Type {
		case platform.EventPut:
			objects[e.Object.Name] = e.Object
		case platform.EventDelete:
			delete(objects, e.Object.Name)
		default:
			continue
		}
		s.apply(e.Object.Version, objects)
	}
	return w.Err()
}

func (s *Store) apply(version platform.Version, objects map[string]platform.Object) {
	var all config.Entities
	for name, o := range objects {
		var inst config.Instance
		if err := json.Unmarshal(o.Data, &inst); err != nil {
			continue
		}
		e, err := config.Render(s.templates, name, inst)
		if err != nil {
			s.log.WithField("event", "instance_invalid").Warn(err.Error())
			continue
		}
		all.Append(e)
	}
	s.snapshot.Store(config.NewSnapshot(version, all))
}

// Auth looks keys up in the snapshot.
type Auth struct {
	Config config.Source
}

// Authenticate implements serve.Authenticator.
func (a Auth) Authenticate(presented string) (*config.Key, error) {
	key, ok := a.Config.Snapshot().Keys[config.HashKey(presented)]
	if !ok {
		return nil, invalidKey()
	}
	return key, nil
}

// StillValid implements serve.Authenticator.
func (a Auth) StillValid(hash string) error {
	if _, ok := a.Config.Snapshot().Keys[hash]; !ok {
		return invalidKey()
	}
	return nil
}

func invalidKey() error {
	return refusal.New(http.StatusUnauthorized, refusal.CodeInvalidKey, "The key is not valid.")
}
