// Package service is a stand-in for a plain service, such as one that issues
// invoices or accepts deposits. It counts how often each request ran.
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
	dropNext int // number of upcoming requests that run but get no response
}

// New returns a service that has run nothing.
func New(name string) *Service {
	return &Service{name: name, runs: map[string]int{}}
}

// Response is the body of a response of the service.
type Response struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Run     int    `json:"run"` // number of runs of this request body so far, this one included
}

// DropNext makes the service run the next n requests and abort their connections
// without a response.
func (s *Service) DropNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropNext = n
}

// Runs returns how often a request with this body ran.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// KeysSeen returns the number of requests with a credential.
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
	_ = json.NewEncoder(w).Encode(Response{Service: s.name, Path: r.URL.Path, Run: run}) // fails only if the caller has disconnected
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

// MaxRuns returns the largest number of runs of any request body.
func (s *Service) MaxRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, n := range s.runs {
		most = max(most, n)
	}
	return most
}
