package quota

import "time"

// Ask is sent by a borrower to the home of a limit. It gives back the whole
// loan and asks for the next. It is repeated with the same Seq until answered.
type Ask struct {
	Limit    string        `json:"limit"`
	Epoch    uint64        `json:"epoch"`    // epoch of the limit that the loan belongs to
	Seq      uint64        `json:"seq"`      // rises by one with each ask to this home
	Return   Share         `json:"return"`   // what is given back; already debited
	Open     int64         `json:"open"`     // nanotokens of reservations open on this loan
	Claims   []Claim       `json:"claims"`   // settlements of reservations handed over before
	First    int64         `json:"first"`    // nanotokens without which the answer is of no use
	Want     int64         `json:"want"`     // nanotokens wanted in all, at least First
	Demand   float64       `json:"demand"`   // nanotokens a second spent lately
	Patience time.Duration `json:"patience"` // how long home may hold the ask back
}

// Claim settles reservations of a loan that was given back while they were
// open.
type Claim struct {
	Mark   Mark  `json:"mark"`   // of home, when the loan came back
	Taken  int64 `json:"taken"`  // nanotokens reserved
	Unused int64 `json:"unused"` // of these, to be given back
}

// Answer is home's reply to an Ask.
type Answer struct {
	Limit  string        `json:"limit"`
	Epoch  uint64        `json:"epoch"`
	Seq    uint64        `json:"seq"`
	Loan   Share         `json:"loan"`   // already debited at home
	Mark   Mark          `json:"mark"`   // of home, when the loan came back
	Denied bool          `json:"denied"` // First will not be there in time
	After  time.Duration `json:"after"`  // if denied: when First will have accrued
}

// Recall asks a borrower to give its loan back, since the limit is scarce.
type Recall struct {
	Limit string `json:"limit"`
	Epoch uint64 `json:"epoch"`
}

// Output is what a Limit wants done. Exactly one of the pointers is set.
type Output struct {
	To      ID // receiver of a message; unset for Verdict
	Ask     *Ask
	Answer  *Answer
	Recall  *Recall
	Verdict *Verdict
}

// Verdict ends a local wait.
type Verdict struct {
	Wait    uint64        // as returned by Limit.Wait
	Granted bool          // whether Reservation is valid
	Res     Reservation   // the tokens taken
	After   time.Duration // if refused: when a new try is worthwhile, 0 if never or unknown
}

// Reservation is a number of tokens taken by a local request. It is settled
// exactly once.
type Reservation struct {
	Amount int64  // nanotokens
	epoch  uint64 // of the limit
	turn   uint64 // loan of the borrower, 0 at home
	mark   Mark   // of the bucket
}
