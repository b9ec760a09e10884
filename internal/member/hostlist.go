// Package member keeps the view of which entry hosts there are: the platform's
// lagging host list and what peers see of one another.
package member

import (
	"encoding/json"

	"buckthornseam.dev/seam/internal/platform"
)

// HostEntry is one entry host in the platform's list (kind hosts).
type HostEntry struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`         // availability zone
	Address     string `json:"address"`      // IP:port for callers
	PeerAddress string `json:"peer_address"` // IP:port for peers
	Leaving     bool   `json:"leaving"`

	// Load is set by the host itself, see peer.Member.
	Load float64 `json:"load,omitempty"`
}

// ParseEntry decodes an object of kind hosts.
func ParseEntry(obj platform.Object) (HostEntry, error) {
	var e HostEntry
	if err := json.Unmarshal(obj.Data, &e); err != nil {
		return HostEntry{}, &BadEntryError{Host: obj.Name, Cause: err}
	}
	return e, nil
}

// BadEntryError reports an entry of the host list that cannot be read.
type BadEntryError struct {
	Host  string
	Cause error
}

func (e *BadEntryError) Error() string { return "host list entry " + e.Host + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BadEntryError) Unwrap() error { return e.Cause }
