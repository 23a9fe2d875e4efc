package routing

import (
	"net/netip"

	"github.com/almondledge/almondledge/internal/connid"
	"github.com/almondledge/almondledge/internal/service"
)

// Verdict is the routing result for a caller's packet.
type Verdict uint8

// Verdicts. DropMalformed and all verdicts after it drop the packet.
const (
	// ToOwner sends the packet to the agent that its connection ID names.
	ToOwner Verdict = iota
	// ToCandidates sends an opening packet to the best agent and names others to try next.
	ToCandidates
	// DropMalformed means that the packet has no complete QUIC header.
	DropMalformed
	// DropUnknownService means that no service has this address.
	DropUnknownService
	// DropOtherService means that the connection ID was issued for another service.
	DropOtherService
	// DropForged means that the connection ID of an established flow was not issued by this system.
	DropForged
	// DropRemoved means that the service was removed and accepts no new flows.
	DropRemoved
	// DropNoAgent means that no agent of the service accepts new flows.
	DropNoAgent
	verdictCount
)

// VerdictCount is the number of verdicts.
const VerdictCount = int(verdictCount)

// String returns the verdict's label in metrics.
func (v Verdict) String() string {
	names := [VerdictCount]string{
		"to_owner", "to_candidates", "drop_malformed", "drop_unknown_service",
		"drop_other_service", "drop_forged", "drop_removed", "drop_no_agent",
	}
	return names[v]
}

// Decision is what a balancer must do with one packet.
type Decision struct {
	Verdict Verdict
	Service service.ID
	// KeyVersion is the key version of an established flow's connection ID.
	KeyVersion uint8
	// Chosen holds the agent to send to and, for an opening packet, the agents to try after it.
	Chosen [MaxCandidates]netip.AddrPort
	// Count is the number of agents in Chosen.
	Count int
}

// Router routes packets. It is not safe for concurrent use, but several routers may
// share a codec and a table.
type Router struct {
	codec   *connid.Codec
	seed    func() uint64
	scratch connid.Scratch
}

// NewRouter returns a router; seed returns the fleet's secret seed for FlowHash.
func NewRouter(codec *connid.Codec, seed func() uint64) *Router {
	return &Router{codec: codec, seed: seed}
}

// Route stores in decision what to do with a caller's packet that was sent to
// serviceAddr.
func (r *Router) Route(table *Table, serviceAddr netip.AddrPort, packet []byte, decision *Decision) {
	decision.Count = 0
	header, err := connid.ParseHeader(packet)
	if err != nil {
		decision.Verdict = DropMalformed
		return
	}
	target := table.ByAddr(serviceAddr)
	if target == nil {
		decision.Verdict = DropUnknownService
		return
	}
	decision.Service = target.ID
	owner, version, err := r.codec.Decode(header.DestID, &r.scratch)
	if err == nil {
		r.routeEstablished(target, owner, version, decision)
		return
	}
	if !header.Long {
		decision.Verdict = DropForged
		return
	}
	r.routeOpening(target, header.DestID, decision)
}

func (r *Router) routeEstablished(target *Service, owner connid.Target, version uint8, decision *Decision) {
	if owner.Service != target.ID {
		decision.Verdict = DropOtherService
		return
	}
	decision.Verdict = ToOwner
	decision.KeyVersion = version
	decision.Chosen[0] = owner.Agent
	decision.Count = 1
}

func (r *Router) routeOpening(target *Service, destID []byte, decision *Decision) {
	if target.Removed {
		decision.Verdict = DropRemoved
		return
	}
	decision.Count = target.Candidates(FlowHash(r.seed(), destID), &decision.Chosen)
	if decision.Count == 0 {
		decision.Verdict = DropNoAgent
		return
	}
	decision.Verdict = ToCandidates
}
