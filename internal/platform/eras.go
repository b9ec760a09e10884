package platform

import "sync"

// Era counts how often the store was restored from a copy. A restore takes back the last changes, and their
// revisions are given out again. 0: the store names no era.
type Era uint32

// Eras tracks the highest era that this process has heard of. It is safe for concurrent use; the zero value knows
// no era.
type Eras struct {
	mu      sync.Mutex
	first   Era
	current Era
	changed chan struct{}
}

// Learn records an era that the store or another host named, and reports whether it is new.
func (e *Eras) Learn(era Era) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era <= e.current {
		return false
	}
	if e.first == 0 {
		e.first = era
	}
	e.current = era
	if e.changed != nil {
		close(e.changed)
		e.changed = nil
	}
	return true
}

// Current returns the highest era heard of.
func (e *Eras) Current() Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// First returns the first era that this process heard of.
func (e *Eras) First() Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.first
}

// Check learns the era that a response names and returns the era that the response belongs to: if it names none, the
// highest one heard of. It fails with *EraError if a higher one is known, so that the response is out of date.
func (e *Eras) Check(named Era) (Era, error) {
	e.Learn(named)
	current := e.Current()
	if named > 0 && named < current {
		return named, &EraError{Expected: current, Found: named}
	}
	return current, nil
}

// Changed returns the current era and a channel that is closed when a higher one is learned.
func (e *Eras) Changed() (Era, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changed == nil {
		e.changed = make(chan struct{})
	}
	return e.current, e.changed
}
