package config

import (
	"encoding/json"
	"time"

	"buckthornseam.dev/coord/vmap"

	"buckthornseam.dev/seam/internal/peer"
)

// Methods called between hosts.
const (
	methodSync = "config.sync" // exchange of digests and missing changes
	methodPage = "config.page" // one page of a full read
	methodAcks = "config.acks" // acknowledgements that the host knows of
)

// syncRequest describes the caller's state and may carry changes.
type syncRequest struct {
	Digest  vmap.Digest                  `json:"g"`
	Members int                          `json:"m"` // member count that the caller's quorum is based on
	Delta   *vmap.Delta[json.RawMessage] `json:"d,omitempty"`
}

// syncReply describes the state of the called host after it merged the caller's changes,
// and carries the changes that the caller lacks.
type syncReply struct {
	Self     peer.ID                      `json:"i"` // the replying host and its incarnation
	Digest   vmap.Digest                  `json:"g"`
	Members  int                          `json:"m"`
	Age      time.Duration                `json:"a"` // since the API's last confirmation, -1 if there was none
	Contacts vmap.Contacts                `json:"c,omitempty"`
	Delta    *vmap.Delta[json.RawMessage] `json:"d,omitempty"`
	Full     bool                         `json:"r,omitempty"` // the caller needs a full read
}

// pageRequest asks for one page of a full read. If Pages is 0, the called host chooses
// the number of pages and replies with the first.
type pageRequest struct {
	Index int `json:"i"`
	Pages int `json:"p"`
}

// acksReply holds the acknowledgements that a host knows of, including its own.
type acksReply struct {
	Acks []hostAck `json:"a"`
}

type hostAck struct {
	Host peer.ID `json:"h"`
	vmap.Ack
}
