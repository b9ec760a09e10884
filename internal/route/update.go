package route

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"buckthornseam.dev/coord/routing"
	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/target"
)

// applyReport takes over the latest report of an engine; the caller holds mu.
// An engine without one, or no longer followed here, has nothing ready.
func (r *Router) applyReport(name string) {
	report, age, ok := r.opts.Reports.Latest(name)
	if !ok {
		r.table.ApplyReport(name, routing.Load{At: r.now()})
		delete(r.incarnations, name)
		return
	}
	if last, known := r.incarnations[name]; known && last != report.Incarnation {
		r.table.RecordRestart(name)
	}
	r.incarnations[name] = report.Incarnation
	r.table.ApplyReport(name, routing.Load{
		At:      r.now() - age,
		Running: report.Running,
		Waiting: report.Waiting,
		Ready:   readyModels(report),
	})
}

func readyModels(r target.Report) []string {
	var out []string
	for _, rep := range r.Replicas {
		if rep.State == target.ReplicaReady {
			out = append(out, rep.Model)
		}
	}
	slices.Sort(out)
	return out
}

const (
	locateEngines = 32 // engines asked at most
	locateTimeout = 300 * time.Millisecond
	locateGap     = 100 * time.Millisecond // between two searches for one model
)

// locator asks the engines of a pool directly for a model that placement holds
// ready but no report has shown yet. Searches for one model are shared.
type locator struct {
	router *Router

	mu       sync.Mutex
	searches map[string]*search // by model
}

type search struct {
	done    chan struct{}
	started time.Time
	found   bool
}

// locate returns whether an engine was found that has the model ready. Large
// pools are not searched: there placement pins the engines it loads on.
func (l *locator) locate(pool, model string) bool {
	engines := l.engines(pool)
	if len(engines) == 0 || len(engines) > locateEngines {
		return false
	}
	l.mu.Lock()
	if l.searches == nil {
		l.searches = map[string]*search{}
	}
	s := l.searches[model]
	if s == nil || time.Since(s.started) > locateGap {
		s = &search{done: make(chan struct{}), started: time.Now()}
		l.searches[model] = s
		go l.run(s, engines, model)
	}
	l.mu.Unlock()
	<-s.done
	return s.found
}

func (l *locator) engines(pool string) []string {
	var out []string
	for name, t := range l.router.opts.Config.Snapshot().Targets {
		if t.Pool == pool && t.Kind == config.TargetEngine && !t.Leaving {
			out = append(out, name)
		}
	}
	return out
}

// run asks all engines at once and ends when all have answered or the time is
// over.
func (l *locator) run(s *search, engines []string, model string) {
	ctx, cancel := context.WithTimeout(context.Background(), locateTimeout)
	defer cancel()
	var mu sync.Mutex
	group := errgroup.Group{}
	for _, name := range engines {
		group.Go(func() error {
			report, err := l.router.opts.Reports.Refresh(ctx, name)
			if err != nil || !slices.Contains(readyModels(report), model) {
				return nil
			}
			l.router.opts.Reports.Pin(name)
			mu.Lock()
			defer mu.Unlock()
			s.found = true
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	close(s.done)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.searches) > maxSearches {
		clear(l.searches)
	}
}

// maxSearches bounds the searches remembered.
const maxSearches = 1024
