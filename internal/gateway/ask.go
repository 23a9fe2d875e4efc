package gateway

import (
	"net/http"

	"github.com/almondledge/almondledge/internal/request"
)

// asksPeer reports whether a request that would wait here asks a peer for a
// free slot first. Only requests that may be repeated and have no content do: a
// refusal costs them nothing but the way to the peer and back.
func (x *exchange) asksPeer() bool {
	plain := x.r.Method == http.MethodGet || x.r.Method == http.MethodHead
	if !plain || x.hops > 0 || len(x.peers) == 0 || x.g.slots.hasRoom() {
		return false
	}
	random := x.g.cfg.Rand()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	return x.g.shared.asking.Allow(random)
}

// noteAsk learns from the outcome of an ask how likely peers have room.
func (x *exchange) noteAsk(e request.Event) {
	x.g.counters.asks.Inc()
	refused := e.Kind == request.PeerRefused
	if refused {
		x.g.counters.asksRefused.Inc()
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.shared.asking.Record(!refused)
}
