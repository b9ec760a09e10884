package keyauth

import (
	"errors"
	"fmt"
	"testing"

	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/refusal"
)

type fixedConfig struct {
	snapshot  *config.Snapshot
	accepting bool
}

func (f *fixedConfig) InForce() (*config.Snapshot, bool) { return f.snapshot, f.accepting }

// newSnapshot returns a configuration with the given numbers of adapters and of
// teams, which have one key each.
func newSnapshot(teams, adapters int) *config.Snapshot {
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

func newAuthenticator(t testing.TB, f *fixedConfig) *Authenticator {
	a, err := New(Options{Config: f, Metrics: tally.NoopScope})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func refusalCode(err error) refusal.Code {
	var r *refusal.Error
	if !errors.As(err, &r) || r.Execution != refusal.NotRun {
		return ""
	}
	return r.Code
}

func TestAuthenticate(t *testing.T) {
	full := newSnapshot(3, 0)
	orphan := config.NewSnapshot(1, config.Entities{Keys: []config.Key{{Hash: config.HashKey("key-of-team-1"), Team: "team-1"}}})
	hash := config.HashKey("key-of-team-1")
	tests := []struct {
		name       string
		config     fixedConfig
		key        string
		want       refusal.Code // empty if admitted
		stillValid refusal.Code
	}{
		{"in force", fixedConfig{full, true}, "key-of-team-1", "", ""},
		{"no key", fixedConfig{full, true}, "", refusal.CodeMissingKey, ""},
		{"unknown", fixedConfig{full, true}, "key-of-nobody", refusal.CodeInvalidKey, ""},
		{"the hash is not a key", fixedConfig{full, true}, hash, refusal.CodeInvalidKey, ""},
		{"withdrawn", fixedConfig{newSnapshot(1, 0), true}, "key-of-team-1", refusal.CodeInvalidKey, refusal.CodeInvalidKey},
		{"team missing", fixedConfig{orphan, true}, "key-of-team-1", refusal.CodeInvalidKey, ""},
		{"stale", fixedConfig{full, false}, "key-of-team-1", refusal.CodeConfigurationStale, refusal.CodeConfigurationStale},
		{"stale, unknown key", fixedConfig{full, false}, "key-of-nobody", refusal.CodeConfigurationStale, refusal.CodeConfigurationStale},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newAuthenticator(t, &tt.config)
			key, err := a.Authenticate(tt.key)
			if refusalCode(err) != tt.want || (err == nil) != (tt.want == "") {
				t.Errorf("Authenticate: %v, want code %q", err, tt.want)
			}
			if err == nil && key.Team != "team-1" {
				t.Errorf("admitted for team %s", key.Team)
			}
			if err := a.StillValid(hash); refusalCode(err) != tt.stillValid || (err == nil) != (tt.stillValid == "") {
				t.Errorf("StillValid: %v, want code %q", err, tt.stillValid)
			}
		})
	}
}

// TestAuthenticateAllocatesNothing checks that admitting a request costs no memory
// allocation.
func TestAuthenticateAllocatesNothing(t *testing.T) {
	a := newAuthenticator(t, &fixedConfig{newSnapshot(1000, 0), true})
	allocs := testing.AllocsPerRun(100, func() {
		key, err := a.Authenticate("key-of-team-7")
		if err != nil || a.StillValid(key.Hash) != nil {
			t.Fatal(err)
		}
	})
	if allocs != 0 {
		t.Fatalf("%v allocations per call, want 0", allocs)
	}
}

// BenchmarkAuthenticate measures the check of a key at the design size: 1,000
// teams and 41,000 adapters.
func BenchmarkAuthenticate(b *testing.B) {
	a := newAuthenticator(b, &fixedConfig{newSnapshot(1000, 41000), true})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := a.Authenticate("key-of-team-7"); err != nil {
			b.Fatal(err)
		}
	}
}

// changingConfig is out of date. It gets the next configuration, without any key, right after a reader has taken the first.
type changingConfig struct{ fixedConfig }

func (c *changingConfig) InForce() (*config.Snapshot, bool) {
	taken := c.fixedConfig
	c.fixedConfig = fixedConfig{newSnapshot(0, 0), true}
	return taken.InForce()
}

// TestChangeWhileAKeyIsChecked guards against a withdrawn key that is admitted by the configuration before a change and the
// confirmation after it, at a host that goes on after a freeze.
func TestChangeWhileAKeyIsChecked(t *testing.T) {
	for name, check := range map[string]func(*Authenticator) error{
		"Authenticate": func(a *Authenticator) error { _, err := a.Authenticate("key-of-team-1"); return err },
		"StillValid":   func(a *Authenticator) error { return a.StillValid(config.HashKey("key-of-team-1")) },
	} {
		c := &changingConfig{fixedConfig{newSnapshot(3, 0), false}}
		a, err := New(Options{Config: c, Metrics: tally.NoopScope})
		if err != nil {
			t.Fatal(err)
		}
		if err := check(a); refusalCode(err) != refusal.CodeConfigurationStale {
			t.Errorf("%s during the change: %v, want the configuration stale", name, err)
		}
		if err := check(a); refusalCode(err) != refusal.CodeInvalidKey {
			t.Errorf("%s after the change: %v, want the key invalid", name, err)
		}
	}
}
