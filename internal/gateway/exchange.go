package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/homes"
	"buckthornseam.dev/seam/internal/callerconn"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/heldbytes"
)

// exchange is one request in progress.
type exchange struct {
	call              fleet.Call
	config            *fleet.Config
	configAge         time.Duration // of its last confirmation, when it was taken for the request
	route             *fleet.Route
	team              *fleet.Team // nil on a public route
	service           string
	homes             homes.Binding // regions to which the request is bound
	body              []byte
	heldBody          *heldbytes.Message // counts body; nil: there is none
	r                 *http.Request
	w                 http.ResponseWriter
	conn              *callerconn.Conn // of the caller; nil in some tests
	arrived           time.Duration
	deadline          time.Duration // on the clock of Options.Now
	taken             float64       // from the team's quota
	sends             int           // sends after which the target may have run the request
	tries             int           // sends that may have reached a target
	sentAt            time.Duration // time of the last send
	connectFailures   int           // failed connection attempts
	cachedFingerprint string        // set by fingerprint
	log               logrus.Fields
	lastEventAt       time.Duration // when the caller was last sent events; 0: never
	headWritten       bool          // the response head was sent to the caller
	refused           bool
	status            int
	progress          *progress // shown beside the handler
	events            eventBuffer
	version           *string // only version at which the stream may go on; nil: any, as it has not begun
	noRetryBudget     bool
	probe             bool          // admitted although a part of its prompt is blocked
	holdEnd           time.Duration // of the last hold, according to PartFailures
	heldUntil         time.Duration // somewhat later than holdEnd
	retryAfter        time.Duration // Retry-After of a refusal; 0: the shortest
	memory            memoryUse
	quiet             bool            // retryAfter is the time that targets named, however long
	permitsDenied     int             // by the coordinator, for targets that name a limit or are cold
	relayedBy         string          // host that the caller is connected to; empty: this one
	helpersTried      map[string]bool // hosts through which the request was tried
	viaHelper         bool            // it is to be sent through another host now
	waitsDirectly     bool            // it was decided that this host sends the request itself
	hedge             *hedge          // a second send of it, which goes on; nil: none
	silent            time.Duration   // of silences of targets that were too long and did not end in a hedge
}

// fingerprint returns a hash that is equal for all attempts of the same request.
func (x *exchange) fingerprint() string {
	if x.cachedFingerprint == "" {
		h := xxhash.New()
		team := ""
		if x.team != nil {
			team = x.team.Name
		}
		for _, s := range []string{x.r.Method, x.r.RequestURI, team, x.call.ModelKey()} {
			_, _ = h.WriteString(s) // never fails
			_, _ = h.Write([]byte{0})
		}
		_, _ = h.Write(x.body)
		x.cachedFingerprint = strconv.FormatUint(h.Sum64(), 36)
	}
	return x.cachedFingerprint
}
