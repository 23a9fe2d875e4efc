package controlplane

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/catalog"
	"github.com/almondledge/almondledge/internal/control"
	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/store"
)

func init() { log.SetHandler(discard.Default) }

// network connects drivers by direct calls and in-memory streams.
type network struct {
	drivers map[netip.AddrPort]*Driver
	wait    sync.WaitGroup
	ctx     context.Context
}

func (n *network) add(kind member.Kind, last byte, seeds ...netip.AddrPort) *Driver {
	self := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(kind), last}), 4433)
	opts := Options{
		Node: control.Config{
			Self: member.Member{
				Addr: self, Stream: self, Kind: kind, State: member.Serving, Incarnation: 1,
				DataCentre: "cesme", Capacity: 5,
			},
			Seeds: seeds,
			Rand:  rand.New(rand.NewPCG(uint64(last), uint64(kind))),
		},
		Send: func(to netip.AddrPort, payload []byte) error {
			if d := n.drivers[to]; d != nil {
				n.wait.Go(func() { _ = d.HandleDatagram(self, payload) })
			}
			return nil
		},
		Dial: func(_ context.Context, to netip.AddrPort) (net.Conn, error) {
			d := n.drivers[to]
			if d == nil {
				return nil, errors.New("no such host")
			}
			near, far := net.Pipe()
			n.wait.Go(func() { _ = d.ServeConn(far) })
			return near, nil
		},
	}
	if kind == member.Agent {
		opts.Node.Self.Service = 1
	}
	d := New(opts)
	n.drivers[self] = d
	return d
}

func (n *network) run(run func(context.Context) error) {
	n.wait.Go(func() { _ = run(n.ctx) })
}

// inBubble runs a test in a synctest bubble, on a fake clock, and ends all goroutines after it.
func inBubble(t *testing.T, test func(is *is.I, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := &network{drivers: map[netip.AddrPort]*Driver{}, ctx: ctx}
		test(is.New(t), n)
		cancel()
		n.wait.Wait()
	})
}

func TestDriversShareCatalogAndMembers(t *testing.T) {
	inBubble(t, func(is *is.I, n *network) {
		first := n.add(member.Balancer, 1)
		seed := first.Self().Addr
		second := n.add(member.Balancer, 2, seed)
		agent := n.add(member.Agent, 1, seed)
		is.NoErr(first.ApplyDelta(catalog.Delta{To: 4, Entries: []catalog.Entry{{ID: 1, ModRevision: 3}, {ID: 2, ModRevision: 4}}}))
		for _, d := range []*Driver{first, second, agent} {
			n.run(d.Run)
		}
		time.Sleep(10 * time.Second)
		for _, d := range []*Driver{first, second, agent} {
			is.True(d.Ready())
			is.Equal(d.Catalog().Revision(), int64(4))
		}
		is.Equal(agent.Catalog().Len(), 1) // the agent has only its own service
		is.Equal(len(second.Members()), 3)
		is.Equal(second.Candidates(1)[0].Addr, agent.Self().Addr)
		is.Equal(len(agent.ReplyTargets()), 2)

		agent.SetState(member.Draining)
		time.Sleep(time.Second)
		is.Equal(len(second.Candidates(1)), 0)
		set := metrics.NewSet()
		first.Register(set)
		var page bytes.Buffer
		set.WritePrometheus(&page)
		is.True(strings.Contains(page.String(), "almondledge_catalog_revision 4\n"))
		is.True(!strings.Contains(page.String(), "almondledge_control_stream_sent_bytes_total 0\n"))
	})
}

func TestOversizedFramesAreRefused(t *testing.T) {
	is := is.New(t)
	var frame bytes.Buffer
	_, err := writeFrame(&frame, request{Kind: requestMembers, Buckets: make([]byte, maxRequestBytes)})
	is.NoErr(err)
	var r request
	is.Equal(errkind.Of(readFrame(&frame, maxRequestBytes, &r)), errkind.Invalid)
}

// fakeStore holds services as "id=slots" and can be down.
type fakeStore struct {
	store.Store
	mu       sync.Mutex
	entries  map[string]store.Entry
	revision int64
	down     bool
	ranges   int
	// events are delivered to the running watch.
	events chan store.WatchBatch
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: map[string]store.Entry{}, events: make(chan store.WatchBatch)}
}

func (s *fakeStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	s.revision++
	e := store.Entry{Key: key, Value: []byte(value), ModRevision: s.revision}
	s.entries[key] = e
	batch := store.WatchBatch{Events: []store.Event{{Entry: e}}, Revision: s.revision}
	s.mu.Unlock()
	select {
	case s.events <- batch:
	case <-time.After(time.Second): // no watch is running
	}
}

// Range implements store.Store.
func (s *fakeStore) Range(context.Context, string) (store.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranges++
	if s.down {
		return store.Snapshot{}, errkind.New(errkind.NotApplied, "store is down", "wait")
	}
	snapshot := store.Snapshot{Revision: s.revision}
	for _, e := range s.entries {
		snapshot.Entries = append(snapshot.Entries, e)
	}
	return snapshot, nil
}

// Watch implements store.Store.
func (s *fakeStore) Watch(ctx context.Context, _ string, _ int64, handle func(store.WatchBatch)) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case batch := <-s.events:
			if len(batch.Events) == 0 {
				return errkind.New(errkind.Stale, "compacted", "read all")
			}
			handle(batch)
		}
	}
}

func decode(e store.Event) (catalog.Entry, bool, error) {
	var id, slots int
	if n, _ := fmt.Sscanf(e.Entry.Key, "services/%d", &id); n == 0 {
		return catalog.Entry{}, false, nil
	}
	entry := catalog.Entry{ID: service.ID(id), ModRevision: e.Entry.ModRevision}
	if _, err := fmt.Sscan(strings.TrimSpace(string(e.Entry.Value)), &slots); err != nil {
		return entry, true, err
	}
	entry.Spec.Limits.Slots = slots
	return entry, true, nil
}

func TestWatcherFollowsTheStore(t *testing.T) {
	inBubble(t, func(is *is.I, n *network) {
		d := n.add(member.Balancer, 1)
		s := newFakeStore()
		w := &Watcher{Driver: d, Store: s, Prefix: "services/", Decode: decode}
		n.run(d.Run)
		n.run(w.Run)
		slots := func(id service.ID) int {
			e, ok := d.Catalog().ByID(id)
			if !ok {
				return -1
			}
			return e.Spec.Limits.Slots
		}
		s.put("services/1", "5")
		s.put("other/1", "5")
		time.Sleep(10 * time.Second)
		is.Equal(slots(1), 5)
		s.put("services/1", "7")
		time.Sleep(time.Second)
		is.Equal(slots(1), 7)
		s.put("services/1", "not a number")
		time.Sleep(time.Second)
		is.Equal(slots(1), 7) // the last state stays active
		is.Equal(d.Catalog().Revision(), int64(4))

		s.update(func() { s.down = true })
		s.events <- store.WatchBatch{} // the watch breaks
		time.Sleep(time.Minute)
		s.update(func() {
			is.True(s.ranges < 20) // the pauses between attempts grow
			s.down = false
		})
		s.put("services/2", "9")
		time.Sleep(2 * maxStorePause)
		is.Equal(slots(2), 9)

		s.update(func() {
			s.entries = map[string]store.Entry{"services/1": {Key: "services/1", Value: []byte("5"), ModRevision: 1}}
			s.revision = 1
		})
		s.events <- store.WatchBatch{} // the store was restored from an older state
		time.Sleep(2 * maxStorePause)
		is.Equal(slots(1), 7)
		is.True(d.Counters().StaleRefused > 0)
		is.Equal(d.Catalog().Revision(), int64(5))
	})
}
