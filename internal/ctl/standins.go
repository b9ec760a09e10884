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

// Secrets of the stand-ins' deployment. They guard nothing but loopback sockets.
const (
	standInToken  = "stand-in-operator-token"
	standInSecret = "stand-in-peer-secret-0123456789"
)

type standInsCommand struct {
	command
	Dir        string        `long:"dir" value-name:"DIR" required:"true" description:"directory for settings of the hosts, instances and the final counters"`
	Preset     string        `long:"preset" choice:"qasr" choice:"vanua" default:"qasr" description:"size of the deployment"`
	Hosts      int           `long:"hosts" default:"8" description:"entry hosts to prepare settings for"`
	Port       uint16        `long:"port" default:"17000" description:"first port; the object API takes it, each host the next three"`
	TokenDelay time.Duration `long:"token-delay" default:"10ms" description:"time for each generated token"`
	ReportLag  time.Duration `long:"report-lag" default:"1s" description:"age of the engines' load reports"`
	AnswerLife time.Duration `long:"answer-life" default:"2s" description:"time for which callers keep an entry answer"`
}

// counters are written when the stand-ins end.
type counters struct {
	KeysSeen    int              `json:"keys_seen"`
	Overcommits int              `json:"overcommits"`
	CutStreams  int              `json:"streams_left_by_hosts"`
	Requests    int              `json:"engine_requests"`
	MostRuns    map[string]int   `json:"most_runs_of_one_call"` // by service
	APICalls    map[string]int64 `json:"object_api_calls"`
	Loads       int              `json:"loads"`
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
	ctx, cancel := interruptible()
	defer cancel()
	for i := range c.Hosts {
		of := c.settings(i, preset, s.PlatformAddress)
		s.RegisterHost(ctx, of, false)
		if err := c.write(fmt.Sprintf("host-%d.json", i), of); err != nil {
			return err
		}
	}
	if err := c.write("instances.json", append(s.Targets, preset.Instances()...)); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "stand-ins ready; object API on %s; SEAM_TOKEN=%s\n", s.PlatformAddress, standInToken)
	<-ctx.Done()
	return c.write("counters.json", count(s))
}

// standInBytesPerSecond is the speed of one load at full speed.
const standInBytesPerSecond = 16 << 30

// settings returns the settings of host i.
func (c *standInsCommand) settings(i int, preset demo.Preset, platform string) settings.Settings {
	const portsPerHost = 3
	at := func(offset int) string {
		port := c.Port + 1 + uint16(portsPerHost*i+offset)
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port).String()
	}
	s := settings.Defaults()
	s.Host = settings.Host{Name: fmt.Sprintf("host-%d", i), Zone: preset.Zones[i%len(preset.Zones)]}
	s.Callers = settings.Callers{Listen: at(0), Advertise: at(0)}
	s.Admin = settings.Admin{Listen: at(1), TokenHash: config.HashKey(standInToken)}
	s.Peers = settings.Peers{Listen: at(2), Advertise: at(2), Secret: standInSecret}
	s.Platform.URL = "http://" + platform
	s.Requests.AnswerLifeMS = c.AnswerLife.Milliseconds()
	return s
}

func (c *standInsCommand) write(name string, v any) error {
	file := filepath.Join(c.Dir, name)
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return &FileError{File: file, Cause: err}
	}
	const ownerOnly = 0o600 // settings hold the peers' secret
	if err := os.WriteFile(file, data, ownerOnly); err != nil {
		return &FileError{File: file, Cause: err}
	}
	return nil
}

func count(s *demo.StandIns) counters {
	out := counters{KeysSeen: s.KeysSeen(), MostRuns: map[string]int{}, APICalls: s.Store.Calls()}
	for _, e := range s.Engines {
		st := e.Stats()
		out.Overcommits += st.Overcommits
		out.CutStreams += st.AbortedStreams
		out.Requests += st.Requests
		out.Loads += st.Loads
	}
	for name, svc := range s.Services {
		out.MostRuns[name] = svc.MaxRuns()
	}
	return out
}

// waitContext returns a context for a run of a given length.
func waitContext(d time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := interruptible()
	ctx, cancel := context.WithTimeout(ctx, d)
	return ctx, func() { cancel(); stop() }
}
