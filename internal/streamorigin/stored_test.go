package streamorigin

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"buckthornseam.dev/seam/internal/platform"
)

// testStoreInterval is the StoreInterval of the hosts.
const testStoreInterval = 500 * time.Millisecond

// memStore is a store in memory.
type memStore struct {
	mu       sync.Mutex
	revision platform.Version
	objects  map[string]platform.Object
	writes   int
	down     bool
}

func (s *memStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// counts returns the number of objects, and of writes so far.
func (s *memStore) counts() (objects, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects), s.writes
}

func (s *memStore) begin() error {
	if s.down {
		return &platform.UnavailableError{Op: "call", Cause: errors.New("store is down")}
	}
	return nil
}

// List implements Store.
func (s *memStore) List(context.Context, platform.Kind, bool) (platform.List, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := platform.List{Version: s.revision}
	for _, obj := range s.objects {
		list.Items = append(list.Items, obj)
	}
	return list, s.begin()
}

// Put implements Store.
func (s *memStore) Put(_ context.Context, obj platform.Object) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if found := s.objects[obj.Name].Version; found != obj.Version {
		return platform.Object{}, &platform.ConflictError{Kind: obj.Kind, Name: obj.Name, Expected: obj.Version, Found: found}
	}
	if err := s.begin(); err != nil {
		return platform.Object{}, err
	}
	s.revision++
	obj.Version = s.revision
	s.objects[obj.Name] = obj
	return obj, nil
}

// Delete implements Store.
func (s *memStore) Delete(_ context.Context, kind platform.Kind, name string, version platform.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if found := s.objects[name].Version; found != version {
		return &platform.ConflictError{Kind: kind, Name: name, Expected: version, Found: found}
	}
	delete(s.objects, name)
	return s.begin()
}

// beginStreams begins a stream of each version at each host, named after both.
func (f *testFleet) beginStreams(versions ...string) {
	for i, h := range f.hosts {
		for _, v := range versions {
			h.Began("llm", fmt.Sprint(v, "-", i), v)
		}
	}
}

// TestVersionsOutliveARestartOfAllHosts guards against hosts that all restart right after a version has left taking the remaining one
// for the only one there was. Streams that the remaining one began go on at once.
func TestVersionsOutliveARestartOfAllHosts(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet(t, 4, "v1", "v2")
		time.Sleep(time.Second)
		f.beginStreams("v1", "v2")
		time.Sleep(time.Second)
		f.setVersions("v2")
		for round := range 2 { // the second restart comes before anything else is stored
			f.restartAll("v2")
			for host := range f.hosts {
				if got := f.lookup(host, "never stored"); got != "unknown" {
					t.Errorf("restart %d, host %d: version %s of a stream that nobody knows, want it unknown", round, host, got)
				}
				for of := range f.hosts {
					for _, v := range []string{"v1", "v2"} {
						if got := f.lookup(host, fmt.Sprint(v, "-", of)); got != v {
							t.Errorf("restart %d, host %d: version %s of a stream that %s began at host %d", round, host, got, v, of)
						}
					}
				}
			}
		}
		time.Sleep(retention)
		if got := f.lookup(0, "begun later"); got != "v2" {
			t.Errorf("long after v1: version %s, want v2", got)
		}
		time.Sleep(time.Second)
		if n, _ := f.store.counts(); n > 0 {
			t.Errorf("%d objects are left in the store", n)
		}
	})
}

// TestOnlyVersionGoesOnAfterARestartOfAllHosts is the control: with a single version, hosts that have all just started refuse nothing,
// and the store is never written to.
func TestOnlyVersionGoesOnAfterARestartOfAllHosts(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet(t, 4, "v1")
		f.beginStreams("v1")
		time.Sleep(time.Second)
		f.restartAll("v1")
		for host := range f.hosts {
			if got := f.lookup(host, "v1-0"); got != "v1" {
				t.Errorf("host %d: version %s, want v1", host, got)
			}
		}
		if _, writes := f.store.counts(); writes > 0 {
			t.Errorf("%d writes to the store", writes)
		}
	})
}

// TestOldObjectsTellNothing guards against versions that were served long ago keeping streams from going on, and against objects of other
// builds being lost.
func TestOldObjectsTellNothing(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet(t, 2, "v1", "v2")
		time.Sleep(time.Second)
		f.beginStreams("v1")
		time.Sleep(time.Second)
		for _, h := range f.hosts {
			h.kill()
		}
		time.Sleep(2 * time.Minute)
		if _, err := f.store.Put(t.Context(), platform.Object{Kind: kindOrigins, Name: "h9", Data: []byte(`{"services":["of another build"]}`)}); err != nil {
			t.Fatal(err)
		}
		f.restartAll("v2")
		for host := range f.hosts {
			if got := f.lookup(host, "new"); got != "v2" {
				t.Errorf("host %d: version %s, want v2", host, got)
			}
		}
		time.Sleep(time.Second)
		if n, _ := f.store.counts(); n != 1 {
			t.Errorf("%d objects are left in the store, want that of the other build", n)
		}
	})
}

// TestStreamsAreRefusedWhileTheStoreIsDown guards against hosts that have all just started and can't read what versions there were.
func TestStreamsAreRefusedWhileTheStoreIsDown(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet(t, 3, "v1", "v2")
		time.Sleep(time.Second)
		f.store.setDown(true)
		f.restartAll("v2")
		if got := f.lookup(0, "v1-0"); got != "unknown" {
			t.Errorf("version %s while the store is down, want it unknown", got)
		}
		f.store.setDown(false)
		if got := f.lookup(0, "v1-0"); got != "unknown" {
			t.Errorf("version %s of a stream that was not stored, want it unknown", got)
		}
	})
}

// TestLossOfAllHostsWithARecord guards against streams that end with the few hosts that knew them, although others run on.
func TestLossOfAllHostsWithARecord(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet(t, 8, "v1", "v2")
		time.Sleep(retention + time.Second)
		f.beginStreams("v1", "v2")
		time.Sleep(time.Second)
		for i := range 7 {
			f.hosts[i].kill()
			f.hosts[i].net.SetDown(true)
		}
		for i := range 7 {
			if got, want := f.lookup(7, fmt.Sprint("v2-", i)), "v2"; got != want {
				t.Errorf("host %d: version %s, want %s", i, got, want)
			}
		}
	})
}

// TestWritesAreBounded checks that a host writes no more often than it may, however many streams begin and end.
func TestWritesAreBounded(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet(t, 1, "v1", "v2")
		time.Sleep(time.Second)
		_, before := f.store.counts()
		for i := range 1000 {
			f.hosts[0].Began("llm", fmt.Sprint(i), "v1")
			f.hosts[0].Completed(fmt.Sprint(i - 20))
			time.Sleep(10 * time.Millisecond)
		}
		_, after := f.store.counts()
		if n := after - before; n < 15 || n > 21 {
			t.Errorf("%d writes in 10 s, want 20 or a few less", n)
		}
	})
}
