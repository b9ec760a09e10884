package placement

import (
	"fmt"
	"testing"
	"time"
)

// wake has many idle models wanted at one instant with random deadlines and
// returns how many were ready in time, and the loads that broke the order: a
// model missed its deadline though its load would have ended in time if it had
// begun instead of one with a later deadline.
func wake(seed uint64, demandOnly bool) (inTime int, broken []string) {
	s := newSim(seed)
	for i := range 10 {
		s.addEngine(TargetSpec{Name: fmt.Sprintf("e%d", i), Pool: "p", Bytes: 40e9, ChecksFence: true, OrderTTL: time.Second})
	}
	deadline := map[string]time.Duration{}
	for i := range 30 {
		m := ModelSpec{Name: fmt.Sprintf("m%02d", i), Pool: "p", Bytes: int64(2e9 + s.rng.Float64()*8e9), MaxReplicas: 1, Idle: time.Hour}
		s.models = append(s.models, m)
		deadline[m.Name] = time.Second + 5*time.Second + s.upTo(50*time.Second)
	}
	opt := DefaultOptions("n")
	opt.ArrivalOrder = demandOnly
	opt.LoadSpeed = s.speed
	opt.StoreRate = 1000
	n := s.addNode(opt)
	n.sync()
	s.every(50*time.Millisecond, n.poll)
	s.after(time.Second, func() {
		n.d.SetActive(true)
		s.every(time.Second, func() {
			for _, m := range s.models {
				if d := deadline[m.Name]; s.now < d && s.engineOf(m.Name) == nil {
					n.d.RecordDemand(s.now, Demand{Host: "h", Model: m.Name, Waiting: 1, Earliest: d, Latest: d})
				}
			}
		})
		s.every(50*time.Millisecond, n.step)
	})
	began, ready := map[string]time.Duration{}, map[string]time.Duration{}
	s.every(10*time.Millisecond, func() {
		for _, e := range s.engines {
			for m, r := range e.replicas {
				if _, ok := began[m]; !ok {
					began[m] = s.now
				}
				if _, ok := ready[m]; !ok && r.State == StateReady {
					ready[m] = s.now
				}
			}
		}
	})
	s.run(90 * time.Second)
	const margin = 200 * time.Millisecond // writes, orders and reports
	for _, m := range s.models {
		d := deadline[m.Name]
		if at, ok := ready[m.Name]; ok && at <= d {
			inTime++
			continue
		}
		alone := time.Duration(float64(m.Bytes) / s.speed[CacheRemote] * 1e9)
		for other, at := range began {
			waited := at < began[m.Name] || began[m.Name] == 0
			if waited && deadline[other] > d && at+alone+margin < d && at > time.Second+margin {
				broken = append(broken, fmt.Sprintf("seed %d: %s (deadline %v) missed, %s (deadline %v) begun at %v", seed, m.Name, d, other, deadline[other], at))
			}
		}
	}
	return inTime, broken
}

func (s *sim) engineOf(model string) *simEngine {
	for _, e := range s.engines {
		if e.replicas[model].State == StateReady {
			return e
		}
	}
	return nil
}

func TestOrderOfLoads(t *testing.T) {
	const runs = 8
	inTime, baseline, baselineBroken := 0, 0, 0
	for seed := range uint64(runs) {
		n, broken := wake(seed, false)
		inTime += n
		if len(broken) > 0 {
			t.Error(broken[0])
		}
		n, broken = wake(seed, true)
		baseline += n
		baselineBroken += len(broken)
	}
	t.Logf("%d of %d models in time, %d in order of arrival", inTime, 30*runs, baseline)
	if baselineBroken == 0 {
		t.Error("the check finds nothing even with loads in order of arrival")
	}
	if inTime <= baseline {
		t.Errorf("%d models in time, %d in order of arrival", inTime, baseline)
	}
}
