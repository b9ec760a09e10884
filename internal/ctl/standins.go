package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/demo"
	"buckthornseam.dev/seam/internal/settings"
)

// Secrets of the stand-in deployment. They protect only sockets on loopback.
const (
	standInToken  = "stand-in-operator-token"
	standInSecret = "stand-in-peer-secret-0123456789"
)

type standInsCommand struct {
	command
	Dir         string        `long:"dir" value-name:"DIR" required:"true" description:"directory for settings of the hosts, instances and the final counters"`
	Preset      string        `long:"preset" choice:"qasr" choice:"vanua" default:"qasr" description:"size of the deployment"`
	Hosts       int           `long:"hosts" default:"8" description:"entry hosts to prepare settings for"`
	Port        uint16        `long:"port" default:"17000" description:"first port; the object API takes it, each host the next three"`
	TokenDelay  time.Duration `long:"token-delay" default:"10ms" description:"time for each generated token"`
	ReportLag   time.Duration `long:"report-lag" default:"1s" description:"age of the engines' load reports"`
	HostListTTL time.Duration `long:"answer-life" default:"2s" description:"time for which callers keep an entry answer"`
}

// counters are written to a file when the stand-ins stop.
type counters struct {
	KeysSeen       int              `json:"keys_seen"`
	Overcommits    int              `json:"overcommits"`
	AbortedStreams int              `json:"streams_left_by_hosts"`
	Requests       int              `json:"engine_requests"`
	MaxRunsPerCall map[string]int   `json:"most_runs_of_one_call"` // by service name
	APICalls       map[string]int64 `json:"object_api_calls"`
	Loads          int              `json:"loads"`
}

// Execute implements flags.Commander.
func (c *standInsCommand) Execute([]string) error {
	preset := demo.Presets()[c.Preset]
	s, err := demo.StartStandIns(demo.StandInOptions{
		Listen: fmt.Sprintf("127.0.0.1:%d", c.Port), Zones: preset.Zones, Engines: preset.Engines,
		TokenDelay: c.TokenDelay, ReportLag: c.ReportLag,
		LoadsPerSecond: preset.LoadsPerSecond, BytesPerSecond: standInBytesPerSecond,
	})
	if err != nil {
		return err
	}
	defer s.Close()
	ctx, cancel := signalContext()
	defer cancel()
	for i := range c.Hosts {
		host := c.hostSettings(i, preset, s.PlatformAddress)
		s.RegisterHost(ctx, host, false)
		if err := c.writeJSON(fmt.Sprintf("host-%d.json", i), host); err != nil {
			return err
		}
	}
	if err := c.writeJSON("instances.json", append(s.Targets, preset.Instances()...)); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "stand-ins ready; object API on %s; SEAM_TOKEN=%s\n", s.PlatformAddress, standInToken)
	<-ctx.Done()
	return c.writeJSON("counters.json", collectCounters(s))
}

// standInBytesPerSecond is the maximum speed of a load from the weight store.
const standInBytesPerSecond = 16 << 30

// hostSettings returns the settings of host i.
func (c *standInsCommand) hostSettings(i int, preset demo.Preset, platform string) settings.Settings {
	const portsPerHost = 3
	address := func(offset int) string {
		port := c.Port + 1 + uint16(portsPerHost*i+offset)
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port).String()
	}
	s := settings.Defaults()
	s.Host = settings.Host{Name: fmt.Sprintf("host-%d", i), Zone: preset.Zones[i%len(preset.Zones)]}
	s.Callers = settings.Callers{Listen: address(0), Advertise: address(0)}
	s.Admin = settings.Admin{Listen: address(1), TokenHash: config.HashKey(standInToken)}
	s.Peers = settings.Peers{Listen: address(2), Advertise: address(2), Secret: standInSecret}
	s.Platform.URL = "http://" + platform
	s.Requests.HostListTTLMS = c.HostListTTL.Milliseconds()
	return s
}

func (c *standInsCommand) writeJSON(name string, v any) error {
	file := filepath.Join(c.Dir, name)
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return &FileError{File: file, Cause: err}
	}
	const ownerOnly = 0o600 // the settings contain the secret of the peers
	if err := os.WriteFile(file, data, ownerOnly); err != nil {
		return &FileError{File: file, Cause: err}
	}
	return nil
}

func collectCounters(s *demo.StandIns) counters {
	out := counters{KeysSeen: s.KeysSeen(), MaxRunsPerCall: map[string]int{}, APICalls: s.Store.Calls()}
	for _, e := range s.Engines {
		st := e.Stats()
		out.Overcommits += st.Overcommits
		out.AbortedStreams += st.AbortedStreams
		out.Requests += st.Requests
		out.Loads += st.Loads
	}
	for name, svc := range s.Services {
		out.MaxRunsPerCall[name] = svc.MaxRuns()
	}
	return out
}

// runContext returns a signalContext with a timeout.
func runContext(d time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := signalContext()
	ctx, cancel := context.WithTimeout(ctx, d)
	return ctx, func() { cancel(); stop() }
}
