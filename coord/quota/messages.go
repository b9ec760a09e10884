package quota

import "time"

// LoanRequest is sent by a borrower to the home of a limit. It gives back the whole
// loan and asks for the next. It is repeated with the same Seq until answered,
// and with a higher Part when more requests have come to wait.
type LoanRequest struct {
	Limit       string           `json:"limit"`
	Epoch       uint64           `json:"epoch"`           // epoch of the limit that the loan belongs to
	Seq         uint64           `json:"seq"`             // rises by one with each ask to this home
	Return      Share            `json:"return,omitzero"` // what is given back; already debited
	Open        int64            `json:"open,omitzero"`   // nanotokens of reservations open on this loan
	Spent       int64            `json:"spent,omitzero"`  // nanotokens taken by requests that home did not grant
	Burst       int64            `json:"burst,omitzero"`  // nanotokens over all hosts, as the borrower knows it
	Settlements []Settlement     `json:"claims,omitzero"` // settlements of reservations handed over before
	Revision    int              `json:"part,omitzero"`
	Waiting     []WaitingRequest `json:"needs,omitzero"`  // all requests that wait at the borrower, in order
	Keep        int64            `json:"keep,omitzero"`   // nanotokens wanted back without need, if there is no scarcity
	Demand      float64          `json:"demand,omitzero"` // nanotokens a second spent lately
}

// WaitingRequest is a request that waits at a borrower.
type WaitingRequest struct {
	WaitID  uint64        `json:"wait"` // names the request
	Amount  int64         `json:"amount"`
	MaxWait time.Duration `json:"patience,omitzero"` // how long it can still wait
}

// Settlement settles reservations of a loan that was given back while they were
// open.
type Settlement struct {
	Mark     Mark  `json:"mark,omitzero"`   // of home, when the loan came back
	Reserved int64 `json:"taken,omitzero"`  // nanotokens reserved
	Unused   int64 `json:"unused,omitzero"` // of these, to be given back
}

// LoanReply is home's reply to an Ask.
type LoanReply struct {
	Limit   string   `json:"limit"`
	Epoch   uint64   `json:"epoch"`
	Seq     uint64   `json:"seq"`
	Loan    Share    `json:"loan,omitzero"`    // already debited at home
	Mark    Mark     `json:"mark,omitzero"`    // of home, when the loan came back
	Granted []uint64 `json:"granted,omitzero"` // requests that the loan is for
	Denied  []Denial `json:"denied,omitzero"`
}

// Denial refuses a request for which the tokens will not come in time.
type Denial struct {
	WaitID     uint64        `json:"wait"`
	RetryAfter time.Duration `json:"after,omitzero"` // when its tokens will have accrued
	ValidFor   time.Duration `json:"sure,omitzero"`  // until then a request as large is denied, too
}

// Recall asks a borrower to give its loan back, since the limit is scarce.
type Recall struct {
	Limit string `json:"limit"`
	Epoch uint64 `json:"epoch"`
}

// Output is what a Limit wants done. Exactly one of the pointers is set.
type Output struct {
	To          ID // receiver of a message; unset for Verdict
	LoanRequest *LoanRequest
	LoanReply   *LoanReply
	Recall      *Recall
	WaitResult  *WaitResult
}

// WaitResult ends a local wait.
type WaitResult struct {
	WaitID      uint64        // as returned by Limit.Wait
	Granted     bool          // whether Reservation is valid
	Reservation Reservation   // the tokens taken
	RetryAfter  time.Duration // if refused: when a new try is worthwhile, 0 if never or unknown
}

// Reservation is a number of tokens taken by a local request. It is settled
// exactly once.
type Reservation struct {
	Amount int64  // nanotokens
	epoch  uint64 // of the limit
	turn   uint64 // loan of the borrower, 0 at home
	mark   Mark   // of the bucket
}
