// Package memnet connects control nodes in memory on a virtual clock, with delay
// and loss, for tests and measurements.
package memnet

import (
	"container/heap"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/almondledge/almondledge/internal/catalog"
	"github.com/almondledge/almondledge/internal/control"
	"github.com/almondledge/almondledge/internal/member"
)

// Start is the virtual time at which every network begins.
var Start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// errNoStream is the error of a pull from an unreachable peer.
var errNoStream = errors.New("no stream")

// streamTimeout is how long a pull from an unreachable peer takes to fail.
const streamTimeout = time.Second

// Net is a set of nodes and the messages in flight between them.
type Net struct {
	// Now is the virtual time.
	Now time.Time
	// Loss is the share of datagrams that are lost.
	Loss float64
	// Delay is the longest one-way delay; each message takes a random part of it.
	Delay time.Duration
	// Cut, if set, reports whether the link from one node to another is down.
	Cut func(from, to *Host) bool
	// LoseWhileFrozen drops messages that arrive at a frozen host instead of queueing them.
	LoseWhileFrozen bool
	// WallClock, if set, returns the real time, with which Host.Busy is measured.
	WallClock func() time.Time
	// OnNotice, if set, is called for each notice.
	OnNotice func(*Host, control.Notice)
	// Hosts are the nodes in the order in which they were added.
	Hosts []*Host

	rand   *rand.Rand
	byAddr map[netip.AddrPort]*Host
	queue  eventQueue
	serial uint64
}

// Host is one node, with the faults that apply to it and its counters.
type Host struct {
	Addr       netip.AddrPort
	DataCentre string
	Node       *control.Node
	// Down hosts neither run nor receive.
	Down bool
	// Frozen hosts do not run; messages that arrive meanwhile are queued.
	Frozen bool
	// StreamBytes counts the bytes of the host's replies to pulls.
	StreamBytes uint64
	// Received counts the bytes of received datagrams, with DatagramOverhead.
	Received uint64
	// Busy is the real time spent in the node's code.
	Busy time.Duration
	// generation counts the starts of the host. Events from before a restart are dropped.
	generation int
	waiting    []func()
}

// New returns an empty network whose random numbers depend on seed alone.
func New(seed uint64) *Net {
	return &Net{
		Now:    Start,
		Delay:  10 * time.Millisecond,
		rand:   rand.New(rand.NewPCG(seed, 1)),
		byAddr: map[netip.AddrPort]*Host{},
	}
}

// Add starts a node at the current time. It restarts a host with the same address.
func (n *Net) Add(cfg control.Config) *Host {
	cfg.Rand = rand.New(rand.NewPCG(n.rand.Uint64(), 2))
	h := n.byAddr[cfg.Self.Addr]
	if h == nil {
		h = &Host{Addr: cfg.Self.Addr}
		n.byAddr[h.Addr] = h
		n.Hosts = append(n.Hosts, h)
	}
	h.DataCentre = cfg.Self.DataCentre
	h.Down, h.Frozen, h.waiting = false, false, nil
	h.generation++
	h.Node = control.New(n.Now, cfg)
	n.tick(h, h.generation, time.Duration(n.rand.Int64N(int64(control.TickPeriod))))
	return h
}

// Host returns the host with an address.
func (n *Net) Host(a netip.AddrPort) *Host { return n.byAddr[a] }

// Run advances the virtual time by d.
func (n *Net) Run(d time.Duration) {
	end := n.Now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		e := heap.Pop(&n.queue).(event)
		n.Now = e.at
		e.run()
	}
	n.Now = end
}

// RunUntil advances the time in steps of one tick until done reports true, and
// returns the time passed. After limit it stops and returns false.
func (n *Net) RunUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	begin := n.Now
	for !done() {
		if n.Now.Sub(begin) >= limit {
			return limit, false
		}
		n.Run(control.TickPeriod)
	}
	return n.Now.Sub(begin), true
}

// Resume lets a frozen host run again. It first handles the queued messages.
func (n *Net) Resume(h *Host) {
	h.Frozen = false
	waiting := h.waiting
	h.waiting = nil
	for _, run := range waiting {
		run()
	}
}

// Perform performs the outputs of a host's node.
func (n *Net) Perform(h *Host, outputs []control.Output) {
	for _, o := range outputs {
		switch o := o.(type) {
		case control.Datagram:
			n.datagram(h, o)
		case control.CatalogPull:
			n.pullCatalog(h, o)
		case control.MemberPull:
			n.pullMembers(h, o)
		case control.Notice:
			if n.OnNotice != nil {
				n.OnNotice(h, o)
			}
		}
	}
}

func (n *Net) tick(h *Host, generation int, after time.Duration) {
	n.after(after, func() {
		if h.generation != generation {
			return
		}
		if !h.Down && !h.Frozen {
			n.Perform(h, n.timed(h, func() []control.Output { return h.Node.Tick(n.Now) }))
		}
		n.tick(h, generation, control.TickPeriod)
	})
}

func (n *Net) datagram(from *Host, d control.Datagram) {
	to := n.byAddr[d.To]
	if to == nil || n.rand.Float64() < n.Loss || n.cut(from, to) {
		return
	}
	n.deliver(to, n.delay(), func() {
		to.Received += uint64(len(d.Payload) + control.DatagramOverhead)
		n.Perform(to, n.timed(to, func() []control.Output {
			m, err := control.Decode(d.Payload)
			if err != nil {
				panic(err)
			}
			return to.Node.Handle(n.Now, from.Addr, m)
		}))
	})
}

// timed calls a node and adds the real time that the call takes to Host.Busy.
func (n *Net) timed(h *Host, call func() []control.Output) []control.Output {
	if n.WallClock == nil {
		return call()
	}
	begin := n.WallClock()
	outputs := call()
	h.Busy += n.WallClock().Sub(begin)
	return outputs
}

// deliver schedules an arrival at a host. A frozen host handles the arrival when it
// resumes, unless LoseWhileFrozen is set. The arrival is lost if the host is down
// or was restarted in the meantime.
func (n *Net) deliver(to *Host, after time.Duration, arrive func()) {
	generation := to.generation
	var run func()
	run = func() {
		switch {
		case to.Down || to.generation != generation || (to.Frozen && n.LoseWhileFrozen):
		case to.Frozen:
			to.waiting = append(to.waiting, run)
		default:
			arrive()
		}
	}
	n.after(after, run)
}

func (n *Net) pullCatalog(h *Host, p control.CatalogPull) {
	peer := n.byAddr[p.Peer]
	if !n.streamWorks(h, peer) {
		n.deliver(h, streamTimeout, func() {
			n.Perform(h, h.Node.HandleCatalog(n.Now, p.Peer, catalog.Delta{}, errNoStream))
		})
		return
	}
	n.deliver(peer, 2*n.delay(), func() {
		d := peer.Node.DeltaSince(p.From, p.Service)
		peer.countStream(d)
		n.deliver(h, n.delay(), func() { n.Perform(h, h.Node.HandleCatalog(n.Now, p.Peer, d, nil)) })
	})
}

func (n *Net) pullMembers(h *Host, p control.MemberPull) {
	peer := n.byAddr[p.Peer]
	if !n.streamWorks(h, peer) {
		n.deliver(h, streamTimeout, func() {
			n.Perform(h, h.Node.HandleMembers(n.Now, p.Peer, nil, errNoStream))
		})
		return
	}
	n.deliver(peer, 2*n.delay(), func() {
		members := slices.Clone(peer.Node.Bucket(p.Buckets...))
		peer.countStream(members)
		n.deliver(h, n.delay(), func() { n.Perform(h, h.Node.HandleMembers(n.Now, p.Peer, members, nil)) })
	})
}

// countStream adds the encoded size of a reply to StreamBytes. It panics if the
// reply cannot be encoded.
func (h *Host) countStream(reply any) {
	encoded, err := msgpack.Marshal(reply)
	if err != nil {
		panic(err)
	}
	h.StreamBytes += uint64(len(encoded))
}

func (n *Net) streamWorks(h, peer *Host) bool {
	return peer != nil && !peer.Down && !peer.Frozen && !n.cut(h, peer) && !n.cut(peer, h)
}

func (n *Net) cut(from, to *Host) bool {
	return n.Cut != nil && n.Cut(from, to)
}

func (n *Net) delay() time.Duration {
	return time.Duration(n.rand.Int64N(int64(n.Delay) + 1))
}

func (n *Net) after(d time.Duration, run func()) {
	n.serial++
	heap.Push(&n.queue, event{n.Now.Add(d), n.serial, run})
}

// Balancer returns the configuration of a balancer.
func Balancer(addr netip.AddrPort, dataCentre string, incarnation uint64, seeds ...netip.AddrPort) control.Config {
	return control.Config{
		Self: member.Member{
			Addr: addr, Stream: addr, Kind: member.Balancer, State: member.Serving,
			Incarnation: incarnation, DataCentre: dataCentre,
		},
		Seeds: seeds,
	}
}

type event struct {
	at     time.Time
	serial uint64
	run    func()
}

// eventQueue orders events by time, and events of the same time by creation.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].serial < q[j].serial
	}
	return q[i].at.Before(q[j].at)
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}
