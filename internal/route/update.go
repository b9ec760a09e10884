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

// applyReport applies the latest report of an engine. An engine without a report, or
// whose reports this host no longer receives, has no ready models. Services don't report.
// The caller must hold mu.
func (r *Router) applyReport(name string) {
	if t := r.snapshot.Targets[name]; t != nil && t.Kind == config.TargetService {
		return
	}
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
	maxLocateEngines = 32 // largest number of engines in a pool that is searched
	locateTimeout    = 300 * time.Millisecond
	searchReuseTime  = 100 * time.Millisecond // time for which later requests share a search
)

// locator finds engines that have a model ready which no report shows yet, by asking
// the engines of the pool directly. Concurrent requests for a model share a search.
type locator struct {
	router *Router

	mu       sync.Mutex
	searches map[searchKey]*search
}

type searchKey struct{ pool, model string }

type search struct {
	done    chan struct{}
	started time.Time
	found   bool
}

// locate reports whether an engine in the pool has the model ready. It does not
// search large pools: there placement pins the reports of engines on which it loads
// models.
func (l *locator) locate(pool, model string) bool {
	engines := l.enginesInPool(pool)
	if len(engines) == 0 || len(engines) > maxLocateEngines {
		return false
	}
	l.mu.Lock()
	if l.searches == nil {
		l.searches = map[searchKey]*search{}
	}
	key := searchKey{pool, model}
	s := l.searches[key]
	if s == nil || time.Since(s.started) > searchReuseTime {
		s = &search{done: make(chan struct{}), started: time.Now()}
		l.searches[key] = s
		go l.runSearch(s, engines, model)
	}
	l.mu.Unlock()
	<-s.done
	return s.found
}

func (l *locator) enginesInPool(pool string) []string {
	var out []string
	for name, t := range l.router.opts.Config.Snapshot().Targets {
		if t.Pool == pool && t.Kind == config.TargetEngine && !t.Leaving {
			out = append(out, name)
		}
	}
	return out
}

// runSearch asks all engines concurrently and ends when all have answered or
// locateTimeout has passed.
func (l *locator) runSearch(s *search, engines []string, model string) {
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

// maxSearches is the number of stored searches above which they are cleared.
const maxSearches = 1024
