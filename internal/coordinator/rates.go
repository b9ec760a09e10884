package coordinator

import (
	"math"
	"time"
)

// rate is an exponential moving average of arrivals per second.
type rate struct {
	perSecond float64
	at        time.Duration
}

func (r *rate) add(n int, now time.Duration) {
	r.perSecond = r.value(now) + float64(n)/rateWindow.Seconds()
	r.at = now
}

func (r *rate) value(now time.Duration) float64 {
	return r.perSecond * math.Exp(-(now-r.at).Seconds()/rateWindow.Seconds())
}

func (c *Coordinator) rate(key modelKey) *rate {
	r := c.rates[key]
	if r == nil {
		r = &rate{}
		c.rates[key] = r
	}
	return r
}
