package placement

import (
	"fmt"
	"testing"
	"time"
)

// runBurst simulates simultaneous requests with random deadlines for many idle models.
// It returns how many models were ready in time, and the violations of the load order:
// a model missed its deadline although its load would have ended in time if it had
// started instead of the load of a model with a later deadline.
func runBurst(seed uint64, arrivalOrder bool) (inTime int, violations []string) {
	s := newSim(seed)
	for i := range 10 {
		s.addEngine(TargetSpec{Name: fmt.Sprintf("e%d", i), Pool: "p", Bytes: 40e9, ChecksFence: true, OrderTTL: time.Second})
	}
	deadline := map[string]time.Duration{}
	for i := range 30 {
		m := ModelSpec{Name: fmt.Sprintf("m%02d", i), Pool: "p", Bytes: int64(2e9 + s.rng.Float64()*8e9), MaxReplicas: 1, Idle: time.Hour}
		s.models = append(s.models, m)
		deadline[m.Name] = time.Second + 5*time.Second + s.randUpTo(50*time.Second)
	}
	opt := DefaultOptions("n")
	opt.ArrivalOrder = arrivalOrder
	opt.LoadSpeed = s.speed
	opt.StoreRate = 1000
	n := s.addNode(opt)
	n.sync()
	s.every(50*time.Millisecond, n.poll)
	s.after(time.Second, func() {
		n.decider.SetActive(true)
		s.every(time.Second, func() {
			for _, m := range s.models {
				if d := deadline[m.Name]; s.now < d && s.engineOf(m.Name) == nil {
					n.decider.RecordDemand(s.now, Demand{Host: "h", Model: m.Name, Waiting: 1, Earliest: d, Latest: d})
				}
			}
		})
		s.every(50*time.Millisecond, n.step)
	})
	started, ready := map[string]time.Duration{}, map[string]time.Duration{}
	s.every(10*time.Millisecond, func() {
		for _, e := range s.engines {
			for m, r := range e.replicas {
				if _, ok := started[m]; !ok {
					started[m] = s.now
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
		for other, at := range started {
			before := at < started[m.Name] || started[m.Name] == 0
			if before && deadline[other] > d && at+alone+margin < d && at > time.Second+margin {
				violations = append(violations, fmt.Sprintf("seed %d: %s missed its deadline %v, but the load of %s with deadline %v started at %v", seed, m.Name, d, other, deadline[other], at))
			}
		}
	}
	return inTime, violations
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
	inTime, baseline, baselineViolations := 0, 0, 0
	for seed := range uint64(runs) {
		n, violations := runBurst(seed, false)
		inTime += n
		if len(violations) > 0 {
			t.Error(violations[0])
		}
		n, violations = runBurst(seed, true)
		baseline += n
		baselineViolations += len(violations)
	}
	t.Logf("%d of %d models in time, %d in order of arrival", inTime, 30*runs, baseline)
	if baselineViolations == 0 {
		t.Error("the check finds no violation even with loads in order of arrival")
	}
	if inTime <= baseline {
		t.Errorf("%d models in time, not more than the %d with loads in order of arrival", inTime, baseline)
	}
}
