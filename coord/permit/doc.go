// Package permit shares the rate of requests that a target takes among the hosts that send to it.
//
// A target in need names a limit in its responses. Limits holds what a host knows of that, and hosts
// exchange Records, up to a coordinating host and down to all others. Before a host sends to such a
// target, it needs a permit of the coordinating host, whose Issuer holds one token bucket for each
// target. Hosts that report to different coordinating hosts get their part of the rate, by their
// number.
//
// Times in messages are ages, so that no clocks are compared.
package permit
