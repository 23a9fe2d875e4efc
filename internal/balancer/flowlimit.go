package balancer

import (
	"math"

	"golang.org/x/time/rate"

	"github.com/almondledge/almondledge/internal/service"
)

// openingPacketsPerFlow is the number of opening packets that a flow usually needs.
// The limit of new flows is applied to opening packets.
const openingPacketsPerFlow = 2

// FlowLimit limits the rate of new flows of a service at one balancer.
type FlowLimit struct {
	Service        service.ID
	FlowsPerSecond float64
}

// flowLimiter holds the token buckets of all services that have a limit. It is
// immutable; the buckets themselves are safe for concurrent use.
type flowLimiter struct {
	buckets map[service.ID]*rate.Limiter
}

// newFlowLimiter returns a limiter for limits. A bucket whose limit has not changed
// is reused from previous, which may be nil.
func newFlowLimiter(limits []FlowLimit, previous *flowLimiter) *flowLimiter {
	limiter := &flowLimiter{buckets: make(map[service.ID]*rate.Limiter, len(limits))}
	for _, limit := range limits {
		if limit.FlowsPerSecond <= 0 {
			continue
		}
		packets := limit.FlowsPerSecond * openingPacketsPerFlow
		if previous != nil {
			kept := previous.buckets[limit.Service]
			if kept != nil && kept.Limit() == rate.Limit(packets) {
				limiter.buckets[limit.Service] = kept
				continue
			}
		}
		burst := int(math.Ceil(packets))
		limiter.buckets[limit.Service] = rate.NewLimiter(rate.Limit(packets), burst)
	}
	return limiter
}

// allow reports whether the service may open a flow now. It takes a token if the
// service has a limit.
func (l *flowLimiter) allow(id service.ID) bool {
	bucket := l.buckets[id]
	return bucket == nil || bucket.Allow()
}
