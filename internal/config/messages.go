package config

import (
	"encoding/json"
	"time"

	"buckthornseam.dev/coord/vmap"

	"buckthornseam.dev/seam/internal/peer"
)

// The methods between hosts.
const (
	methodSync = "config.sync" // exchange of digests, and of what one side lacks
	methodPage = "config.page" // part of a full reading
	methodAcks = "config.acks" // acknowledgements that the host knows of
)

// syncRequest says what the caller holds and may bring changes.
type syncRequest struct {
	Digest  vmap.Digest                  `json:"g"`
	Members int                          `json:"m"` // what the caller takes its quorum of
	Delta   *vmap.Delta[json.RawMessage] `json:"d,omitempty"`
}

// syncAnswer says what the called host holds, after it took the caller's
// changes, and brings what the caller lacks.
type syncAnswer struct {
	Self     peer.ID                      `json:"i"` // the run of the host that answers
	Digest   vmap.Digest                  `json:"g"`
	Members  int                          `json:"m"`
	Age      time.Duration                `json:"a"` // since the API's last confirmation, -1 if none
	Contacts vmap.Contacts                `json:"c,omitempty"`
	Delta    *vmap.Delta[json.RawMessage] `json:"d,omitempty"`
	Full     bool                         `json:"r,omitempty"` // the caller needs a full reading
}

// pageRequest asks for a part of a full reading. With Pages 0 the called host
// chooses the number of parts and answers with the first.
type pageRequest struct {
	Index int `json:"i"`
	Pages int `json:"p"`
}

// acksAnswer holds what a host knows of others and of itself.
type acksAnswer struct {
	Acks []hostAck `json:"a"`
}

type hostAck struct {
	Host peer.ID `json:"h"`
	vmap.Ack
}
