package placement

import (
	"testing"
	"time"
)

// TestRestartNeedsConfirmation checks that a target which ignores fencing tokens gets
// no load order after a restart until its record was read again. Another decider may
// have removed the slot meanwhile, because the earlier incarnation had carried out the
// only load order. The new incarnation has forgotten that and would load the model
// without a slot.
func TestRestartNeedsConfirmation(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		d := NewDecider(DefaultOptions("n"))
		d.SetActive(true)
		d.Configure([]TargetSpec{{Name: "t", Pool: "p", Bytes: 10, RequestSlots: 1, OrderTTL: time.Second}},
			[]ModelSpec{{Name: "m", Pool: "p", Bytes: 1, MaxReplicas: 1, Idle: time.Minute}})
		rec := TargetRecord{Target: "t", Fence: 1, Slots: []Slot{{Decision: "x", Model: "m", Bytes: 1, Phase: PhaseHold, Fence: 1}}}
		d.RecordReport(time.Second, "t", Report{Incarnation: "a", Sequence: 1, TakenAt: time.Second})
		d.Sync(time.Second, time.Second, []StoredTarget{{Record: rec, Version: 1}}, nil, 1)
		now := 2 * time.Second
		if restarted {
			d.RecordReport(now, "t", Report{Incarnation: "b", Sequence: 1, TakenAt: now})
		}
		d.RecordDemand(now, Demand{Host: "h", Model: "m", Waiting: 1, Earliest: time.Minute, Latest: time.Minute})
		if sent := loadsSent(d.Step(now)); sent == restarted {
			t.Errorf("restarted %v: load order sent: %v", restarted, sent)
		}
		for _, a := range d.Step(now + time.Millisecond) {
			if a.Kind == ReadTarget {
				d.Done(now+time.Second, Result{Action: a, Outcome: Succeeded, Target: rec, Version: 1})
			}
		}
		if sent := loadsSent(d.Step(now + 2*time.Second)); sent != restarted {
			t.Errorf("restarted %v: load order sent after the record was read: %v", restarted, sent)
		}
	}
}

func loadsSent(actions []Action) bool {
	for _, a := range actions {
		if a.Kind == SendOrder && a.Order.Op == OrderLoad {
			return true
		}
	}
	return false
}
