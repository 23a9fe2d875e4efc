package routing

import (
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// mantissaBits is the number of random bits in a float64 from 0 to 1.
const mantissaBits = 53

// Score returns the weighted rendezvous score of an agent for a flow. The agent
// with the highest score is the flow's first choice. An agent's score does not
// depend on the other agents, so all processes that know a flow and an agent
// agree on it. (Weighted rendezvous hashing with logarithms: Schindelhauer and
// Schomaker, "Weighted Distributed Hash Tables", 2005.)
func Score(flow uint64, agent netip.AddrPort, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(-1)
	}
	unit := (float64(mix(flow, agent)>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -weight / math.Log(unit)
}

// mix hashes a flow and an agent to 64 uniform bits.
func mix(flow uint64, agent netip.AddrPort) uint64 {
	var data [26]byte
	octets := agent.Addr().As16()
	binary.BigEndian.PutUint64(data[0:], flow)
	copy(data[8:], octets[:])
	binary.BigEndian.PutUint16(data[24:], agent.Port())
	return xxhash.Sum64(data[:])
}

// FlowHash returns the hash of an opening flow: of the connection ID that the
// caller chose, under a secret seed, so that a caller cannot choose its backend server.
func FlowHash(seed uint64, destID []byte) uint64 {
	digest := xxhash.NewWithSeed(seed)
	_, _ = digest.Write(destID) // never fails
	return digest.Sum64()
}
