package flowagent

import (
	"net/netip"
	"slices"

	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/flowtable"
	"github.com/almondledge/almondledge/internal/hop"
	"github.com/almondledge/almondledge/internal/placement"
	"github.com/almondledge/almondledge/internal/rendezvous"
)

// HandleClaim records another agent as the owner of some flows.
func (a *Agent) HandleClaim(c hop.Claim) {
	for _, key := range c.Keys {
		a.claims.Add(key, c.Owner)
		a.searches.Remove(key)
	}
}

// claim returns ownership claims for one flow to its home agents.
func (a *Agent) claim(key flow.Key, e *flowtable.Entry) []hop.Send {
	homes := a.cfg.Directory.HomeAgents(key, placement.HomeAgentsPerFlow)
	e.HomeAgentsHash = homeAgentsHash(homes)
	var sends []hop.Send
	for _, home := range homes {
		if home != a.cfg.Self {
			c := hop.Claim{Owner: a.self, Keys: []flow.Key{key}}
			sends = append(sends, hop.Send{To: home, Payload: c.AppendTo(nil)})
		}
	}
	return sends
}

// renewClaims returns ownership claims for all flows whose home agents have changed since their
// last claim.
func (a *Agent) renewClaims() []hop.Send {
	pending := map[netip.AddrPort][]flow.Key{}
	a.flows.Visit(func(key flow.Key, e *flowtable.Entry) {
		homes := a.cfg.Directory.HomeAgents(key, placement.HomeAgentsPerFlow)
		hash := homeAgentsHash(homes)
		if e.Phase == flowtable.Opening || hash == e.HomeAgentsHash {
			return
		}
		e.HomeAgentsHash = hash
		for _, home := range homes {
			if home != a.cfg.Self {
				pending[home] = append(pending[home], key)
			}
		}
	})
	var sends []hop.Send
	for home, keys := range pending {
		for chunk := range slices.Chunk(keys, hop.MaxClaims) {
			c := hop.Claim{Owner: a.self, Keys: chunk}
			sends = append(sends, hop.Send{To: home, Payload: c.AppendTo(nil)})
		}
	}
	return sends
}

// homeAgentsHash returns a hash of a set of home agents, independent of their order.
func homeAgentsHash(homes []netip.AddrPort) uint32 {
	var hash rendezvous.Hash
	for _, home := range homes {
		hash += rendezvous.HashAddr(home)
	}
	return uint32(hash)
}
