package auth

import (
	"errors"
	"fmt"
	"testing"

	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/refusal"
)

type fixed struct {
	snapshot  *config.Snapshot
	accepting bool
}

func (f *fixed) Snapshot() *config.Snapshot { return f.snapshot }
func (f *fixed) Accepting() bool            { return f.accepting }

// sized returns a configuration of that many teams with a key each, and
// adapters.
func sized(teams, adapters int) *config.Snapshot {
	e := config.Entities{}
	for i := range teams {
		name := fmt.Sprintf("team-%d", i)
		e.Teams = append(e.Teams, config.Team{Name: name, Rate: 1, Burst: 1, Weight: 1})
		e.Keys = append(e.Keys, config.Key{Hash: config.HashKey("key-of-" + name), Team: name})
	}
	for i := range adapters {
		e.Models = append(e.Models, config.Model{Name: fmt.Sprintf("adapter-%d", i)})
	}
	return config.NewSnapshot(1, e)
}

func newAuthenticator(t testing.TB, f *fixed) *Authenticator {
	a, err := New(Options{Config: f, Metrics: tally.NoopScope})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func code(err error) refusal.Code {
	var r *refusal.Error
	if !errors.As(err, &r) || r.Execution != refusal.NotRun {
		return ""
	}
	return r.Code
}

func TestAuthenticate(t *testing.T) {
	full := sized(3, 0)
	orphan := config.NewSnapshot(1, config.Entities{Keys: []config.Key{{Hash: config.HashKey("key-of-team-1"), Team: "team-1"}}})
	hash := config.HashKey("key-of-team-1")
	tests := []struct {
		name       string
		config     fixed
		key        string
		want       refusal.Code // "" if admitted
		stillValid refusal.Code
	}{
		{"in force", fixed{full, true}, "key-of-team-1", "", ""},
		{"no key", fixed{full, true}, "", refusal.CodeMissingKey, ""},
		{"unknown", fixed{full, true}, "key-of-nobody", refusal.CodeInvalidKey, ""},
		{"the hash is not a key", fixed{full, true}, hash, refusal.CodeInvalidKey, ""},
		{"withdrawn", fixed{sized(1, 0), true}, "key-of-team-1", refusal.CodeInvalidKey, refusal.CodeInvalidKey},
		{"team missing", fixed{orphan, true}, "key-of-team-1", refusal.CodeInvalidKey, ""},
		{"stale", fixed{full, false}, "key-of-team-1", refusal.CodeConfigurationStale, refusal.CodeConfigurationStale},
		{"stale, unknown key", fixed{full, false}, "key-of-nobody", refusal.CodeConfigurationStale, refusal.CodeConfigurationStale},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newAuthenticator(t, &tt.config)
			key, err := a.Authenticate(tt.key)
			if code(err) != tt.want || (err == nil) != (tt.want == "") {
				t.Errorf("authenticate: %v, want %q", err, tt.want)
			}
			if err == nil && key.Team != "team-1" {
				t.Errorf("admitted for team %s", key.Team)
			}
			if err := a.StillValid(hash); code(err) != tt.stillValid || (err == nil) != (tt.stillValid == "") {
				t.Errorf("still valid: %v, want %q", err, tt.stillValid)
			}
		})
	}
}

// TestAuthenticateAllocatesNothing holds the bar of the admission path.
func TestAuthenticateAllocatesNothing(t *testing.T) {
	a := newAuthenticator(t, &fixed{sized(1000, 0), true})
	allocs := testing.AllocsPerRun(100, func() {
		key, err := a.Authenticate("key-of-team-7")
		if err != nil || a.StillValid(key.Hash) != nil {
			t.Fatal(err)
		}
	})
	if allocs != 0 {
		t.Fatalf("%v allocations, want 0", allocs)
	}
}

// BenchmarkAuthenticate measures the admission of a key at the size designed
// for.
func BenchmarkAuthenticate(b *testing.B) {
	a := newAuthenticator(b, &fixed{sized(1000, 41000), true})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := a.Authenticate("key-of-team-7"); err != nil {
			b.Fatal(err)
		}
	}
}
