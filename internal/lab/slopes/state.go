package slopes

import (
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/almondledge/almondledge/internal/catalog"
	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/presence"
	"github.com/almondledge/almondledge/internal/service"
)

// State holds the size of the state of one balancer and the cost of operations on it.
type State struct {
	Balancers int `json:"balancers"`
	Agents    int `json:"agents"`
	Services  int `json:"services"`
	// TableBytes and CatalogBytes are heap sizes.
	TableBytes   uint64 `json:"tableBytes"`
	CatalogBytes uint64 `json:"catalogBytes"`
	// TableSnapshot and CatalogSnapshot are the sizes in bytes of the snapshots that a
	// joining node pulls.
	TableSnapshot   int `json:"tableSnapshot"`
	CatalogSnapshot int `json:"catalogSnapshot"`
	// ApplyTime is the time to apply one ticket, MergeTime the time to merge one member
	// record, BucketTime the time to collect the members of one bucket for repair.
	ApplyTime  time.Duration `json:"applyNanoseconds"`
	MergeTime  time.Duration `json:"mergeNanoseconds"`
	BucketTime time.Duration `json:"bucketNanoseconds"`
}

// repetitions is the number of operations over which a time is averaged.
const repetitions = 200

// MeasureState fills a member table and a catalog and measures them.
func MeasureState(balancers, agents, services, dataCentres int) (State, error) {
	s := State{Balancers: balancers, Agents: agents, Services: services}
	now := time.Unix(0, 0)
	before := liveHeap()
	table := presence.NewTable(presence.Config{})
	for i := range balancers + agents {
		table.Merge(now, sampleMember(i, balancers, services, dataCentres))
	}
	s.TableBytes = liveHeap() - before

	before = liveHeap()
	full, err := fullCatalog(services)
	if err != nil {
		return s, err
	}
	s.CatalogBytes = liveHeap() - before

	begin := time.Now()
	for i := range repetitions {
		m := sampleMember(i%(balancers+agents), balancers, services, dataCentres)
		m.Incarnation = uint64(2 + i)
		table.Merge(now, m)
	}
	s.MergeTime = time.Since(begin) / repetitions
	begin = time.Now()
	for i := range repetitions {
		table.Bucket(uint8(i))
	}
	s.BucketTime = time.Since(begin) / repetitions
	if s.ApplyTime, err = applyTime(full); err != nil {
		return s, err
	}
	if s.TableSnapshot, err = encodedSize(table.Bucket()); err != nil {
		return s, err
	}
	s.CatalogSnapshot, err = encodedSize(full.DeltaSince(0, 0))
	runtime.KeepAlive(table)
	return s, err
}

func sampleMember(i, balancers, services, dataCentres int) member.Member {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 4433)
	m := member.Member{
		Addr: addr, Stream: addr, Kind: member.Balancer, State: member.Serving,
		Incarnation: 1, DataCentre: fmt.Sprintf("data-centre-%02d", i%dataCentres),
	}
	if i >= balancers {
		m.Kind, m.Service, m.Capacity = member.Agent, service.ID(1+i%services), 5
	}
	return m
}

func fullCatalog(services int) (*catalog.Catalog, error) {
	d := catalog.Delta{To: int64(services)}
	for i := range services {
		d.Entries = append(d.Entries, sampleEntry(i, int64(i+1)))
	}
	return catalog.New().Apply(d)
}

func sampleEntry(i int, revision int64) catalog.Entry {
	id := service.ID(i + 1)
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), 443)
	return catalog.Entry{ID: id, ModRevision: revision, Spec: service.Spec{
		Name: fmt.Sprintf("service-%05d", i), ID: id, Address: addr,
		HostNames:      []string{fmt.Sprintf("service-%05d.example.org", i)},
		BackendServers: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")},
		Limits:         service.Limits{Connections: 2000, Slots: 5, QueueLength: 50, DeadlineMillis: 5000},
	}}
}

func applyTime(c *catalog.Catalog) (time.Duration, error) {
	begin := time.Now()
	for i := range repetitions {
		next := c.Revision() + 1
		d := catalog.Delta{From: c.Revision(), To: next, Entries: []catalog.Entry{sampleEntry(i, next)}}
		var err error
		if c, err = c.Apply(d); err != nil {
			return 0, err
		}
	}
	return time.Since(begin) / repetitions, nil
}

func encodedSize(v any) (int, error) {
	encoded, err := msgpack.Marshal(v)
	return len(encoded), err
}
