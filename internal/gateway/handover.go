package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/idempotency"
	"github.com/almondledge/almondledge/internal/member"
)

// ledgerPath is the path at which a peer receives the closed ledger of an agent that leaves.
const ledgerPath = RelayPrefix + "-ledger"

// TransferLedger closes the ledger of this agent permanently and sends it to all known peers. After
// this agent has left, its peers can still reply to requests with its keys: with the recorded
// outcome if the key was used, and with "not run" if it was not. It returns the number of peers
// that accepted the ledger.
func (g *Gateway) TransferLedger(ctx context.Context) (int, error) {
	now := g.cfg.Now()
	g.mu.Lock()
	closed := g.shared.records.Close(now)
	g.mu.Unlock()
	encoded, err := msgpack.Marshal(closed)
	if err != nil {
		return 0, errkind.Wrap(err, errkind.Invalid, "cannot encode the ledger", "report this as a defect")
	}
	if len(encoded) > idempotency.MaxClosedBytes {
		return 0, errkind.New(errkind.Invalid, "the ledger is too large to transfer", "none; repeated requests with its keys get an unknown outcome")
	}
	accepted := 0
	for _, peer := range g.peers() {
		if g.sendLedger(ctx, peer, encoded) {
			accepted++
		}
	}
	return accepted, nil
}

// sendLedger sends the encoded ledger to one peer.
func (g *Gateway) sendLedger(ctx context.Context, peer member.Member, encoded []byte) bool {
	target := g.cfg.PeerURL(peer) + ledgerPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(encoded))
	if err != nil {
		return false
	}
	response, err := g.cfg.Relay.RoundTrip(request)
	if err != nil {
		g.cfg.Log.WithField("peer", peer.Addr.String()).WithError(err).Warn("cannot send the ledger to a peer")
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusNoContent
}

// receiveLedger stores the closed ledger of a peer that leaves.
func (g *Gateway) receiveLedger(w http.ResponseWriter, r *http.Request) {
	body := http.MaxBytesReader(w, r.Body, idempotency.MaxClosedBytes)
	encoded, err := io.ReadAll(body)
	if err != nil {
		http.Error(w, "the ledger is incomplete or too large", http.StatusRequestEntityTooLarge)
		return
	}
	var closed idempotency.ClosedLedger
	if err := msgpack.Unmarshal(encoded, &closed); err != nil {
		http.Error(w, "the ledger is malformed", http.StatusBadRequest)
		return
	}
	now := g.cfg.Now()
	g.mu.Lock()
	err = g.shared.records.AddClosedLedger(now, closed)
	g.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.cfg.Log.WithField("peer", closed.Granter.String()).WithField("records", len(closed.Records)).Info("received the ledger of a leaving agent")
	w.WriteHeader(http.StatusNoContent)
}
