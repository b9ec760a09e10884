// Package crashcause finds out which part of requests crashes the targets that run them.
//
// Requests are made of parts, and many requests may share a part. If a part crashes each target
// that runs it, all other requests that run there break off too, and so do those that share other
// parts with the cause. A Tracker records the failures (a target broke off a request) and the
// completions of each part, and blocks a part once they leave no other explanation:
//
//   - Failures of the part followed one another: each of at least three requests was sent after
//     the failure before, each to another target, and no request with the part was completed since.
//     Targets that fail at the same moment, for whatever reason, count once.
//   - The failures outnumber the recent completions of the part.
//   - No other part explains the same failures better, and chance does not: the failures belong to several requests, and, among
//     many parts, to most of the targets that ended meanwhile.
//   - The targets did end: none completed a request that was sent shortly after its failure.
//
// The failures at a target that a blocked part has crashed count against no other part, and those at a target for whose parts there
// was no room against none: the cause may be among what is missing.
//
// A block ends as soon as a request with the part completes. Since none is sent any more, single
// requests are admitted to find out, at growing intervals.
//
// The trackers of several hosts exchange what they have recorded as Evidence, up to a coordinating
// host and down to all others, and each decides by itself. Times in messages are ages, so that no
// clocks are compared.
package crashcause
