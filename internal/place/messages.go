package place

import (
	"time"

	"buckthornseam.dev/coord/placement"
	"buckthornseam.dev/seam/internal/target"
)

// Peer methods.
const (
	methodWant    = "place.want"
	methodUse     = "place.use"
	methodReports = "place.reports"
	methodStatus  = "place.status"
)

// wantParams asks for a model on behalf of requests that wait at a host.
type wantParams struct {
	Model    string        `json:"model"`
	Waiting  int           `json:"waiting"`
	Earliest time.Duration `json:"earliest_ns"` // remaining time of the first deadline
	Latest   time.Duration `json:"latest_ns"`   // remaining time of the last deadline
	Missed   bool          `json:"missed,omitempty"`
}

// wantResult is the decider's word on the model, given when it is ready, when
// it is known that it will not be, or after a short time.
type wantResult struct {
	Decider bool              `json:"decider"` // false: ask Holder instead
	Holder  string            `json:"holder,omitempty"`
	Serving placement.Serving `json:"serving"`
	ReadyIn time.Duration     `json:"ready_in_ns"` // 0 if not known
	Reason  string            `json:"reason,omitempty"`
}

// modelUse is a host's use of one model since its last message.
type modelUse struct {
	Model   string `json:"model"`
	Used    int    `json:"used"`
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

// targetReport is a report on its way to the decider.
type targetReport struct {
	Target string        `json:"target"`
	Report target.Report `json:"report"` // Age counts up to the sending
	Lost   bool          `json:"lost,omitempty"`
}

type reportsParams struct {
	Reports []targetReport `json:"reports"`
}

type reportsResult struct {
	Decider bool   `json:"decider"`
	Held    bool   `json:"held"` // the answering host holds the lease
	Holder  string `json:"holder,omitempty"`
}

type statusParams struct {
	Model string `json:"model,omitempty"` // empty for all
}

type statusResult struct {
	Decider bool               `json:"decider"`
	Holder  string             `json:"holder,omitempty"`
	Models  []placement.Status `json:"models"`
}
