package quota

import "time"

// LoanRequest is sent by a borrower to the home of a limit. It returns the whole current loan and
// requests the next. It is repeated with the same Seq until answered, and sent with a higher
// Revision when more requests are waiting.
type LoanRequest struct {
	Limit       string           `json:"limit"`
	Epoch       uint64           `json:"epoch"`           // epoch of the limit that the loan is from
	Seq         uint64           `json:"seq"`             // incremented with each new request to this home
	Return      Share            `json:"return,omitzero"` // loan that is returned; already debited
	Open        int64            `json:"open,omitzero"`   // nanotokens of open reservations of the returned loan
	Spent       int64            `json:"spent,omitzero"`  // nanotokens reserved by requests that home did not grant
	Burst       int64            `json:"burst,omitzero"`  // nanotokens for all hosts, as configured at the borrower
	Settlements []Settlement     `json:"claims,omitzero"` // settled reservations of loans returned before
	Revision    int              `json:"part,omitzero"`
	Waiting     []WaitingRequest `json:"needs,omitzero"`  // all requests queued at the borrower, in order
	Keep        int64            `json:"keep,omitzero"`   // nanotokens wanted without a request, if enough are left
	Demand      float64          `json:"demand,omitzero"` // recent average of nanotokens spent per second
}

// WaitingRequest is a request queued at a borrower.
type WaitingRequest struct {
	WaitID  uint64        `json:"wait"` // identifies the request
	Amount  int64         `json:"amount"`
	MaxWait time.Duration `json:"patience,omitzero"` // time left until its deadline
}

// Settlement settles reservations of a loan that was returned while they were open.
type Settlement struct {
	Mark     Mark  `json:"mark,omitzero"`   // position in home's history when the loan was returned
	Reserved int64 `json:"taken,omitzero"`  // nanotokens reserved
	Unused   int64 `json:"unused,omitzero"` // unused part of Reserved, to be credited
}

// LoanReply is home's reply to a LoanRequest.
type LoanReply struct {
	Limit   string   `json:"limit"`
	Epoch   uint64   `json:"epoch"`
	Seq     uint64   `json:"seq"`
	Loan    Share    `json:"loan,omitzero"`    // already debited at home
	Mark    Mark     `json:"mark,omitzero"`    // position in home's history when the last loan was returned
	Granted []uint64 `json:"granted,omitzero"` // WaitIDs of the requests that the loan is for
	Denied  []Denial `json:"denied,omitzero"`
}

// Denial refuses a request whose tokens will not be available in time.
type Denial struct {
	WaitID     uint64        `json:"wait"`
	RetryAfter time.Duration `json:"after,omitzero"` // time until its tokens have accrued
	ValidFor   time.Duration `json:"sure,omitzero"`  // time in which requests of at least this size are denied too
}

// Recall asks a borrower to return its loan because tokens are scarce or home hands the limit over.
type Recall struct {
	Limit string `json:"limit"`
	Epoch uint64 `json:"epoch"`
}

// Output is an action that a Limit asks its caller to perform. Exactly one of the pointers is set.
type Output struct {
	To          ID // receiver of the message; unset for WaitResult
	LoanRequest *LoanRequest
	LoanReply   *LoanReply
	Recall      *Recall
	WaitResult  *WaitResult
}

// WaitResult ends a local wait.
type WaitResult struct {
	WaitID      uint64        // as returned by Limit.Wait
	Granted     bool          // Reservation is valid
	Reservation Reservation   // reserved tokens
	RetryAfter  time.Duration // if refused: time until a retry is useful, 0 if never or unknown
}

// Reservation is a number of tokens reserved by a local request. It must be settled exactly once.
type Reservation struct {
	Amount  int64  // nanotokens
	epoch   uint64 // of the limit
	loanSeq uint64 // number of the borrower's loan, 0 at home
	mark    Mark   // position in the bucket's history
}
