// Package quota limits what a fleet spends together, without asking anybody on
// the ordinary path: at most burst + rate*(e-s) tokens are spent in any period
// [s, e] by all hosts together. With rate zero the same code carries permits:
// at most burst of them are held at once.
//
// One host, the home, holds the whole of a limit by an epoch that is written
// to a shared object (see Ledger). It lends: a loan moves tokens, a share of
// the refill rate and a share of the capacity to another host, which then
// spends and accrues by itself. Each quantity is in one place at a time:
//
//   - A borrower that runs short gives back the whole loan with the request
//     for the next one. Home therefore sees the whole limit whenever it is
//     scarce, serves requests in the order of arrival, and no two hosts end
//     with half of what each needs.
//   - A giver debits before it sends; a taker credits when it hears. Requests
//     carry a sequence number and are repeated until answered; home carries
//     out each once and repeats its answer. A lost message delays a loan and
//     makes no token.
//   - What was lent to a host that died stays lost until the caller of this
//     package knows that the host runs no more (Limit.Gone). What a dead home
//     held is assigned anew once every listed host has dropped what it had
//     borrowed from it (Limit.Release), by a conditional write of the ledger.
//
// Safety rests on these moves and on that write alone: no clock of two hosts
// is compared and no leader is needed. Time serves accrual, which each host
// measures by its own monotonic clock, and patience.
//
// Why the bound holds: the capacity shares of all hosts sum to at most the
// burst, a host holds at most its capacity in tokens, and the rate shares sum
// to at most the rate. So what is spent in [s, e] is at most what all held at
// s plus what accrued since. Bucket says why returned tokens keep this.
//
// A Limit is not safe for concurrent use.
package quota
