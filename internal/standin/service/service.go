// Package service is a stand-in for a plain service, such as one that issues
// invoices or takes deposits. It counts how often each request ran.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"buckthornseam.dev/seam/internal/target"
)

// Service is a stand-in service.
type Service struct {
	name string

	mu       sync.Mutex
	runs     map[string]int // by request body
	keysSeen int
	dropNext int // requests to run whose connection is then dropped
}

// New returns a service.
func New(name string) *Service {
	return &Service{name: name, runs: map[string]int{}}
}

// Answer is what the service answers.
type Answer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Run     int    `json:"run"` // how often this body ran, this run included
}

// DropNext makes the next n requests run and lose their answer.
func (s *Service) DropNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropNext = n
}

// Runs returns how often a request body ran.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// KeysSeen returns the number of requests that carried a credential.
func (s *Service) KeysSeen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keysSeen
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run, drop := s.record(string(body), r)
	if drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	_ = json.NewEncoder(w).Encode(Answer{Service: s.name, Path: r.URL.Path, Run: run}) // a caller that is gone needs no answer
}

func (s *Service) record(body string, r *http.Request) (run int, drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[body]++
	if r.Header.Get("Authorization") != "" || r.Header.Get("X-Api-Key") != "" {
		s.keysSeen++
	}
	if s.dropNext > 0 {
		s.dropNext--
		drop = true
	}
	return s.runs[body], drop
}

// MaxRuns returns how often the request that ran most often ran.
func (s *Service) MaxRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, n := range s.runs {
		most = max(most, n)
	}
	return most
}
