// Package quota enforces limits over a whole fleet without a remote call on the ordinary path: in
// any period [s, e], all hosts together spend at most burst + rate*(e-s) tokens. The same code
// implements permits, which are limits with rate zero: at most burst of them are held at once.
//
// One host, the home, holds a whole limit for an epoch that is written to a shared object (see
// Ledger). Home makes loans: a loan moves tokens, a share of the refill rate and a share of the
// capacity to another host, which then spends and accrues on its own. Each quantity is in one
// place at a time:
//
//   - A borrower that runs short returns its whole loan with the request for the next one. Home
//     therefore sees the whole limit whenever tokens are scarce and serves requests in order of
//     arrival. Two hosts cannot end up with half of what each needs.
//   - The sender of tokens debits them before it sends, and the receiver credits them on arrival.
//     Loan requests carry a sequence number and are repeated until answered; home processes each
//     once and repeats its reply. A lost message delays a loan but creates no tokens.
//   - Tokens lent to a host that died stay lost until the caller of this package knows that the
//     host has stopped (Limit.RemoveBorrower). What a dead home held is assigned again, by a
//     conditional write of the ledger, once every listed host has discarded what it borrowed from
//     it (Limit.Release).
//
// Safety depends on these transfers and on that write alone. It needs no leader and compares no
// clocks of different hosts. Time is used only for accrual, which each host measures with its own
// monotonic clock, and for deadlines.
//
// The bound holds for this reason: the capacity shares of all hosts add up to at most the burst, a
// host holds at most its capacity in tokens, and the rate shares add up to at most the rate. What
// is spent in [s, e] is therefore at most what all hosts held at s plus what accrued since. The
// comment on bucket explains why returned tokens keep the bound.
//
// A Limit is not safe for concurrent use.
package quota
