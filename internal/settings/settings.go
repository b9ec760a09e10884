// Package settings reads and checks the settings of seamd.
package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"github.com/sirupsen/logrus"
)

// Settings are the settings of an entry host.
type Settings struct {
	Host     Host     `json:"host"`
	Callers  Callers  `json:"callers"`
	Peers    Peers    `json:"peers"`
	Admin    Admin    `json:"admin"`
	Platform Platform `json:"platform"`
	Requests Requests `json:"requests"`
	Log      Log      `json:"log"`
}

// Host identifies this host.
type Host struct {
	Name string `json:"name"` // as in the platform's host list
	Zone string `json:"zone"` // availability zone
}

// Callers configures the interface for callers.
type Callers struct {
	Listen    string `json:"listen"`    // IP:port
	Advertise string `json:"advertise"` // IP:port given to callers
}

// Peers configures the connections between entry hosts.
type Peers struct {
	Listen    string `json:"listen"`    // IP:port
	Advertise string `json:"advertise"` // IP:port given to peers
	Secret    string `json:"secret"`    // shared by all hosts, at least 16 bytes
}

// Admin configures the interface for operators.
type Admin struct {
	Listen    string `json:"listen"`     // IP:port
	TokenHash string `json:"token_hash"` // hash of the operator token, see seamctl hash-key
}

// Platform configures the object API.
type Platform struct {
	URL string `json:"url"`
}

// Requests holds the limits on requests of callers.
type Requests struct {
	BodyBytes     int64 `json:"body_bytes"`     // largest request body
	DeadlineMS    int64 `json:"deadline_ms"`    // from arrival to the first token or the complete response
	TokenGapMS    int64 `json:"token_gap_ms"`   // longest gap between two tokens of a stream
	DrainMS       int64 `json:"drain_ms"`       // longest graceful shutdown, without the hand-over to other hosts
	HostListTTLMS int64 `json:"answer_life_ms"` // time for which callers keep a list of entry hosts
	MaxConcurrent int   `json:"max_concurrent"` // requests in progress on this host
}

// Log configures the logging to standard error.
type Log struct {
	Level string `json:"level"` // logrus level name
}

// Defaults returns the values of settings that a file does not set.
func Defaults() Settings {
	return Settings{
		Requests: Requests{
			BodyBytes:     1 << 20,
			DeadlineMS:    30_000,
			TokenGapMS:    3_000,
			DrainMS:       60_000,
			HostListTTLMS: 5_000,
			MaxConcurrent: 10_000,
		},
		Log: Log{Level: "info"},
	}
}

// Fault is an invalid setting.
type Fault struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// InvalidError reports all faults of a settings file.
type InvalidError struct {
	File   string
	Faults []Fault
}

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.Path + ": " + f.Reason
	}
	return fmt.Sprintf("%s: %s", e.File, strings.Join(lines, "; "))
}

// ReadError reports a settings file that cannot be read.
type ReadError struct {
	File  string
	Cause error
}

func (e *ReadError) Error() string { return fmt.Sprintf("settings %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// Read reads and validates a settings file. It fails with *ReadError or with
// *InvalidError, which holds all faults.
func Read(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &ReadError{File: file, Cause: err}
	}
	return Parse(file, data)
}

// Parse decodes and validates settings in JSON. File is the file name for errors.
func Parse(file string, data []byte) (Settings, error) {
	s := Defaults()
	faults, rest := schemaFaults(data, s)
	if rest == nil {
		return Settings{}, &InvalidError{File: file, Faults: faults}
	}
	if err := json.Unmarshal(rest, &s); err != nil {
		return Settings{}, &InvalidError{File: file, Faults: append(faults, Fault{Path: ".", Reason: err.Error()})}
	}
	faults = append(faults, omitNamed(s.Check(), faults)...)
	if len(faults) > 0 {
		return Settings{}, &InvalidError{File: file, Faults: faults}
	}
	return s, nil
}

// omitNamed returns the faults without those whose field or section already has a
// fault in named.
func omitNamed(faults, named []Fault) []Fault {
	paths := map[string]bool{}
	for _, f := range named {
		paths[f.Path] = true
	}
	var out []Fault
	for _, f := range faults {
		section, _, _ := strings.Cut(f.Path, ".")
		if !paths[f.Path] && !paths[section] {
			out = append(out, f)
		}
	}
	return out
}

// minSecretBytes is the minimum length of the secret that peers share.
const minSecretBytes = 16

// Check returns the faults of the values.
func (s Settings) Check() []Fault {
	v := &validator{}
	v.require(s.Host.Name != "", "host.name", "must not be empty")
	v.require(s.Host.Zone != "", "host.zone", "must not be empty")
	v.address(s.Callers.Listen, "callers.listen")
	v.address(s.Callers.Advertise, "callers.advertise")
	v.address(s.Peers.Listen, "peers.listen")
	v.address(s.Peers.Advertise, "peers.advertise")
	v.require(len(s.Peers.Secret) >= minSecretBytes, "peers.secret", "must have at least 16 bytes")
	v.address(s.Admin.Listen, "admin.listen")
	v.require(len(s.Admin.TokenHash) == 64, "admin.token_hash", "must be the hexadecimal hash of a token")
	u, err := url.Parse(s.Platform.URL)
	v.require(err == nil && u.Scheme != "" && u.Host != "", "platform.url", "must be a URL with scheme and address")
	v.require(s.Requests.BodyBytes > 0, "requests.body_bytes", "must be positive")
	v.require(s.Requests.DeadlineMS > 0, "requests.deadline_ms", "must be positive")
	v.require(s.Requests.TokenGapMS > 0, "requests.token_gap_ms", "must be positive")
	v.require(s.Requests.DrainMS > 0, "requests.drain_ms", "must be positive")
	v.require(s.Requests.HostListTTLMS > 0, "requests.answer_life_ms", "must be positive")
	v.require(s.Requests.MaxConcurrent > 0, "requests.max_concurrent", "must be positive")
	_, err = logrus.ParseLevel(s.Log.Level)
	v.require(err == nil, "log.level", "must be a level such as info")
	return v.faults
}

type validator struct {
	faults []Fault
}

func (v *validator) require(ok bool, path, reason string) {
	if !ok {
		v.faults = append(v.faults, Fault{Path: path, Reason: reason})
	}
}

func (v *validator) address(value, path string) {
	_, err := netip.ParseAddrPort(value)
	v.require(err == nil, path, "must be an IP address and port")
}
