package control

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/almondledge/almondledge/internal/member"
)

// Over time the samples must name every agent of a service that accepts new flows:
// otherwise all agents would relay requests to the same few agents.
func TestSampledPeersCoverOtherDataCentres(t *testing.T) {
	const agents = 10
	now := time.Unix(1_800_000_000, 0)
	addr := func(host byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, host}), 7000)
	}
	self := member.Member{Addr: addr(200), Kind: member.Balancer, State: member.Serving, Incarnation: 1, DataCentre: "cesme"}
	node := New(now, Config{Self: self, Rand: rand.New(rand.NewPCG(1, 1))})
	announcing := member.Member{Addr: addr(100), Kind: member.Agent, State: member.Serving, Incarnation: 1, DataCentre: "cesme", Service: 1}
	for i := range byte(agents) {
		remote := announcing
		remote.Addr = addr(i + 1)
		remote.DataCentre = []string{"alacati", "bodrum"}[i%2]
		node.balancer.table.Merge(now, remote)
	}
	named := make(map[netip.AddrPort]bool)
	for range 100 {
		sample := node.balancer.samplePeers(now, announcing)
		if len(sample) != ackPeers {
			t.Fatalf("sample of %d peers, want %d", len(sample), ackPeers)
		}
		for _, peer := range sample {
			named[peer.Addr] = true
		}
	}
	if len(named) != agents {
		t.Errorf("100 samples named %d of %d agents", len(named), agents)
	}
}
