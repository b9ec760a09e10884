package modelplacer

import (
	"time"

	"buckthornseam.dev/coord/placement"
	"buckthornseam.dev/seam/internal/target"
)

// Peer methods.
const (
	methodDemand  = "place.want"
	methodUse     = "place.use"
	methodReports = "place.reports"
	methodStatus  = "place.status"
)

// demandParams requests a model on behalf of the requests that wait for it on a host.
type demandParams struct {
	Model     string        `json:"model"`
	Waiting   int           `json:"waiting"`
	Earliest  time.Duration `json:"earliest_ns"` // time left until the first deadline
	Latest    time.Duration `json:"latest_ns"`   // time left until the last deadline
	NoReplica bool          `json:"missed,omitempty"`
}

// demandResult is the decider's reply to a demand for a model. It is sent once it
// is final (see isFinal), or after longPollTimeout.
type demandResult struct {
	Decider bool              `json:"decider"` // if false, call Holder instead
	Holder  string            `json:"holder,omitempty"`
	Serving placement.Serving `json:"serving"`
	ReadyIn time.Duration     `json:"ready_in_ns"` // 0 if not known
	Reason  string            `json:"reason,omitempty"`
}

// modelUse is a host's use of one model: the requests started since its last
// message, and those running now.
type modelUse struct {
	Model   string `json:"model"`
	Started int    `json:"used"`
	Running int    `json:"running"`
}

type useParams struct {
	Uses []modelUse `json:"uses"`
}

type useResult struct {
	Decider bool     `json:"decider"`
	Holder  string   `json:"holder,omitempty"`
	Unready []string `json:"unready,omitempty"` // used models without a ready replica
}

// targetReport is a target's report that a host relays to the decider.
type targetReport struct {
	Target string        `json:"target"`
	Report target.Report `json:"report"`         // Age includes the time that the poll took
	Lost   bool          `json:"lost,omitempty"` // the poll failed; in a message: maxFailedPolls in a row failed
}

type reportsParams struct {
	Reports []targetReport `json:"reports"`
}

type reportsResult struct {
	Decider bool   `json:"decider"`
	Held    bool   `json:"held"` // the replying host holds the lease
	Holder  string `json:"holder,omitempty"`
}

type statusParams struct {
	Model string `json:"model,omitempty"` // empty means all
}

type statusResult struct {
	Decider bool               `json:"decider"`
	Holder  string             `json:"holder,omitempty"`
	Models  []placement.Status `json:"models"`
}
