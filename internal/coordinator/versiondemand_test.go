package coordinator

import (
	"testing"
	"time"
)

// TestWaitForVersionIsReported checks that the coordinator learns which software versions the waiting
// requests need, and no more of it when they end.
func TestWaitForVersionIsReported(t *testing.T) {
	f := NewFleetView("z", func() time.Duration { return time.Hour })
	v1 := "v1"
	endFirst := f.BeginWait("s", "m", &v1, nil, time.Hour)
	f.BeginWait("s", "m", nil, nil, time.Hour)
	var r Report
	f.report(&r)
	if w := r.Waiting[0]; w.Count != 2 || len(w.CountAt) != 1 || w.CountAt[v1] != 1 {
		t.Errorf("reported %+v, want two waiting, one of them for %s", w, v1)
	}
	endFirst()
	r = Report{}
	f.report(&r)
	if w := r.Waiting[0]; w.Count != 1 || len(w.CountAt) != 0 {
		t.Errorf("reported %+v, want one waiting for any version", w)
	}
}
