// Package member maintains this host's view of the hosts of the fleet. It combines
// the platform's host list, which may be out of date, with probes between the hosts.
package member

import (
	"encoding/json"

	"buckthornseam.dev/seam/internal/platform"
)

// HostEntry is a host in the platform's host list (objects of kind hosts).
type HostEntry struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`         // availability zone
	Address     string `json:"address"`      // IP:port for callers
	PeerAddress string `json:"peer_address"` // IP:port for other hosts
	Leaving     bool   `json:"leaving"`

	// Load is reported by the host itself, see peer.Member.
	Load float64 `json:"load,omitempty"`
}

// ParseEntry decodes an object of kind hosts.
func ParseEntry(obj platform.Object) (HostEntry, error) {
	var e HostEntry
	if err := json.Unmarshal(obj.Data, &e); err != nil {
		return HostEntry{}, &InvalidEntryError{Host: obj.Name, Cause: err}
	}
	return e, nil
}

// InvalidEntryError reports an entry of the host list that cannot be decoded.
type InvalidEntryError struct {
	Host  string
	Cause error
}

func (e *InvalidEntryError) Error() string {
	return "host list entry " + e.Host + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *InvalidEntryError) Unwrap() error { return e.Cause }
