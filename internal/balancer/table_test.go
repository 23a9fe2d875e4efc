package balancer

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/catalog"
	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/presence"
	"github.com/almondledge/almondledge/internal/routing"
	"github.com/almondledge/almondledge/internal/service"
)

func tableSpec(id int) service.Spec {
	addr := netip.AddrFrom4([4]byte{127, 64, byte(id >> 8), byte(id)})
	return service.Spec{
		Name: "service", ID: service.ID(id), Address: netip.AddrPortFrom(addr, 443),
		BackendServers: []netip.Prefix{netip.MustParsePrefix("127.1.0.0/16")},
	}
}

func candidate(network, host byte) presence.Candidate {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, network, 0, host}), 7000)
	return presence.Candidate{Member: member.Member{Addr: addr, DataCentre: "cesme"}, Weight: 5}
}

func mustApply(t testing.TB, before *catalog.Catalog, delta catalog.Delta) *catalog.Catalog {
	t.Helper()
	after, err := before.Apply(delta)
	if err != nil {
		t.Fatal(err)
	}
	return after
}

// Agents must not be offered new flows of a service that does not admit them or drains
// them. A removed service must stay in the table, or its open flows would break.
func TestBuildTable(t *testing.T) {
	is := is.New(t)
	spec := tableSpec(1)
	spec.Draining = []netip.AddrPort{candidate(1, 2).Addr}
	config := mustApply(t, catalog.New(), catalog.Delta{To: 5, Entries: []catalog.Entry{{ID: 1, ModRevision: 5, Spec: spec}}})
	present := func(service.ID) []presence.Candidate {
		return []presence.Candidate{candidate(1, 1), candidate(1, 2), candidate(9, 3)}
	}
	table, _ := buildTable(config, present, routing.NewTable(nil))
	agents := table.ByID(1).Agents
	is.Equal(len(agents), 1) // the second agent is draining, the third is outside the service's networks
	is.Equal(agents[0].Addr, candidate(1, 1).Addr)

	config = mustApply(t, config, catalog.Delta{From: 5, To: 6, Entries: []catalog.Entry{{ID: 1, ModRevision: 6, Removed: true}}})
	after, _ := buildTable(config, present, table)
	is.True(after.ByAddr(spec.Address) != nil)
	is.True(after.ByAddr(spec.Address).Removed)
	is.Equal(len(after.ByID(1).Agents), 0)
}

func BenchmarkBuildTable(b *testing.B) {
	const serviceCount = 15_000
	delta := catalog.Delta{To: serviceCount}
	for id := 1; id <= serviceCount; id++ {
		delta.Entries = append(delta.Entries, catalog.Entry{ID: service.ID(id), ModRevision: int64(id), Spec: tableSpec(id)})
	}
	config := mustApply(b, catalog.New(), delta)
	present := []presence.Candidate{candidate(1, 1), candidate(1, 2), candidate(1, 3)}
	table := routing.NewTable(nil)
	b.ReportAllocs()
	for b.Loop() {
		table, _ = buildTable(config, func(service.ID) []presence.Candidate { return present }, table)
	}
}
