package gateway

import (
	"net/http"

	"github.com/almondledge/almondledge/internal/request"
)

// sendsSlotQuery reports whether the request would wait here and is first sent to a peer as a slot
// query. Slot queries are limited to GET and HEAD: these requests may be repeated and usually have
// no body, so a refusal costs only a round trip.
func (x *exchange) sendsSlotQuery() bool {
	plain := x.r.Method == http.MethodGet || x.r.Method == http.MethodHead
	if !plain || x.hops > 0 || len(x.peers) == 0 || x.g.slots.hasFreeSlot() {
		return false
	}
	random := x.g.cfg.Rand()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	return x.g.shared.slotQueries.Allow(random)
}

// recordSlotQuery counts a slot query and updates the estimate of how likely peers have a free
// slot.
func (x *exchange) recordSlotQuery(e request.Event) {
	x.g.counters.slotQueries.Inc()
	refused := e.Kind == request.PeerRefused
	if refused {
		x.g.counters.slotQueriesRefused.Inc()
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.shared.slotQueries.Record(!refused)
}
