package control

import (
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/catalog"
	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/service"
)

// pull is the state of catalog pulls. At most one pull runs at a time.
type pull struct {
	peer netip.AddrPort
	// until is when the running pull times out.
	until time.Time
	// backoff is the earliest time of a pull after a failed one.
	backoff time.Time
}

// pullBackoff is the minimum pause after a failed pull. A random pause of up to pullBackoff is
// added.
const pullBackoff = 300 * time.Millisecond

// pullCatalog pulls the missing revisions from peer, unless a pull is running or
// the pause after a failed pull has not ended.
func (n *Node) pullCatalog(now time.Time, peer, stream netip.AddrPort, id service.ID) {
	if now.Before(n.pull.until) || now.Before(n.pull.backoff) || !stream.IsValid() {
		return
	}
	n.pull = pull{peer: peer, until: now.Add(n.cfg.Timing.PullTimeout)}
	n.out = append(n.out, CatalogPull{Peer: peer, Stream: stream, From: n.catalog.Revision(), Service: id})
}

// HandleCatalog processes the result of a CatalogPull.
func (n *Node) HandleCatalog(now time.Time, peer netip.AddrPort, d catalog.Delta, err error) []Output {
	if peer == n.pull.peer {
		n.pull.until = time.Time{}
	}
	if err != nil {
		n.counters.FailedPulls++
		n.pull.backoff = now.Add(pullBackoff + n.jitter(pullBackoff))
		return n.takeOutputs()
	}
	if d.To <= n.catalog.Revision() {
		return n.takeOutputs()
	}
	if err := n.apply(d); err != nil {
		n.counters.FailedPulls++
		n.pull.backoff = now.Add(pullBackoff + n.jitter(pullBackoff))
		if !errkind.Is(err, errkind.Stale) {
			n.counters.BadMessages++
		}
	}
	return n.takeOutputs()
}
