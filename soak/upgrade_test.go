package soak

import (
	"math"
	"syscall"
	"time"
)

// configBound is the time within which a configuration is in force on all hosts. The settings have the same value.
const configBound = 2 * time.Second

// upgrade replaces the hosts, which run the old daemon, by the new one, switches on what the old daemon does not know, and
// replaces them by the old daemon and by the new one again. Bounds of what the old daemon does not know hold while all hosts are new.
func (s *soak) upgrade() {
	s.replaceHosts("new", s.binary)
	s.boundCold()
	s.evacuate()
	time.Sleep(configBound)
	s.turnCold(1, coldMost)
	time.Sleep(coldTime)
	if *oldPath != "" {
		time.Sleep(evacuateBound) // so that the evacuation is in force for some time
		s.checker.recordEarlierDaemon(true)
	}
	s.replaceHosts("old", s.oldBinary())
	if *oldPath != "" {
		s.turnCold(1, math.MaxInt)
	}
	s.replaceHosts("new", s.binary)
}

// replaceHosts replaces the processes of all hosts by ones of another daemon, one after the other. If there is one daemon only, it
// replaces a random host alone.
func (s *soak) replaceHosts(daemon, binary string) {
	hosts := s.hosts
	if *oldPath == "" {
		i := s.random.IntN(len(hosts))
		hosts = hosts[i : i+1]
	}
	began := time.Now()
	for i, p := range hosts {
		s.checker.recordHostFault(p.frontAddr)
		p.signal(syscall.SIGTERM)
		_ = p.cmd.Wait() // any exit status is accepted
		if i == len(hosts)-1 && binary == s.binary {
			s.checker.recordEarlierDaemon(false)
		}
		p.start(s.t, binary)
		s.checker.recordHostFault(p.frontAddr)
		if !waitFor(recoverBound, p.isReady) {
			s.t.Errorf("upgrade: %s did not become ready with the %s daemon", p.name, daemon)
		}
	}
	s.t.Logf("replaced %d hosts by the %s daemon in %v, until %v", len(hosts), daemon, time.Since(began).Round(time.Millisecond), time.Now().Format(time.StampMilli))
}
