package quota

import (
	"math"
	"math/bits"
	"time"
)

// Nano is the number of nanotokens in a token. Amounts are whole nanotokens, so that transfers
// back and forth never create a token by rounding.
const Nano = 1_000_000_000

// MaxTokens is the largest burst, in tokens.
const MaxTokens = math.MaxInt64 / Nano / 2

// TotalParts is the number of parts that the rate and the capacity of a limit are each divided
// into. Shares are parts rather than tokens: every host multiplies them by the rate and burst in
// force, so a change of configuration needs no agreement between hosts.
const TotalParts = 1 << 40

// ID identifies one run of a host. A restarted host has a new Incarnation.
type ID struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
}

// Share is a part of a limit.
type Share struct {
	Rate   int64 `json:"rate,omitzero"`   // parts of the refill rate, out of TotalParts
	Cap    int64 `json:"cap,omitzero"`    // parts of the burst, out of TotalParts
	Tokens int64 `json:"tokens,omitzero"` // nanotokens, at most Cap parts of the burst
}

// mulDiv returns a*b/c rounded down. It requires a, b >= 0 and either b <= c or a <= c.
func mulDiv(a, b, c int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	q, _ := bits.Div64(hi, lo, uint64(c))
	return int64(q)
}

// capParts returns the fewest parts of burst that cover tokens.
func capParts(tokens, burst int64) int64 {
	if burst <= 0 || tokens <= 0 {
		return 0
	}
	if tokens >= burst {
		return TotalParts
	}
	parts := mulDiv(tokens, TotalParts, burst)
	for mulDiv(burst, parts, TotalParts) < tokens {
		parts++
	}
	return parts
}

// accrualTime returns how long it takes to accrue tokens at rate (nanotokens per second), at most
// maxAccrual.
func accrualTime(tokens int64, rate float64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	seconds := float64(tokens) / rate
	if rate <= 0 || seconds > maxAccrual.Seconds() {
		return maxAccrual
	}
	return time.Duration(seconds*float64(time.Second)) + 1
}

// maxAccrual is longer than any request waits.
const maxAccrual = 24 * time.Hour
