package platformhost

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/bootclock"
	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/platform"
)

// newListedHost returns host a before its first list of hosts.
func newListedHost() *Host {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Host{self: fleet.Host{Name: "a", Address: "a:1"}, view: coordinator.NewFleetView("z", bootclock.Now), log: log, knowsHosts: make(chan struct{})}
}

// FuzzHostEntries guards against an entry of a host that ends the process, or has callers and hosts sent to no address.
func FuzzHostEntries(f *testing.F) {
	for _, data := range []string{`{"Name":"b","Address":"1.2.3.4:5","PeerAddress":"1.2.3.4:6","Weight":-1}`, `{"Name":"other","Address":"x"}`, `{"Name":"b"}`, `null`, `{}`, `[]`, `{`} {
		f.Add([]byte(data))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		h := newListedHost()
		h.hostsChanged(map[string]platform.Object{"b": {Name: "b", Data: data, Version: 7}})
		for name, host := range h.view.Hosts() {
			if host.Name != name || host.Address == "" {
				t.Errorf("host %q has the entry %+v", name, host)
			}
		}
	})
}
