// Package controlplane drives a control.Node: it manages the ticker, the lock, the
// streams for state transfer and the watch of the platform store. Package control
// makes all decisions.
package controlplane

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/almondledge/almondledge/internal/catalog"
	"github.com/almondledge/almondledge/internal/control"
	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/presence"
	"github.com/almondledge/almondledge/internal/service"
)

// Options set up a Driver.
type Options struct {
	// Node configures the control.Node.
	Node control.Config
	// Send sends a payload to a member in a sealed envelope. It must not block for long.
	Send func(to netip.AddrPort, payload []byte) error
	// Dial opens an authenticated stream to the stream address of a member.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	// Log receives one line for each event. The default is log.Log.
	Log log.Interface
	// OnCandidates, if set, is called without locks held, with the services whose
	// candidates may have changed.
	OnCandidates func([]service.ID)
	// OnNotice, if set, is called for each notice, without locks held.
	OnNotice func(control.Notice)
}

// Driver runs one control.Node. Its methods are safe for concurrent use.
//
// Lock order: mu is the only lock. It is never held while Send, Dial,
// OnCandidates, OnNotice or a store call runs.
type Driver struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	pulls  sync.WaitGroup

	mu   sync.Mutex
	node *control.Node
	// stopped prevents new pulls once Run waits for the running pulls.
	stopped bool

	// State for readers without the lock, set by publish.
	catalog      atomic.Pointer[catalog.Catalog]
	replyTargets atomic.Pointer[[]netip.AddrPort]
	ready        atomic.Bool
	candidates   sync.Map // service.ID to []presence.Candidate
	// watchChanged wakes the Watcher when the result of Node.Watching may have changed.
	watchChanged chan struct{}
	// lastTimed is when candidates that change with time alone were last published.
	lastTimed time.Time

	streamSent, streamReceived atomic.Uint64
}

// New returns a driver. It does its periodic work while Run runs.
func New(opts Options) *Driver {
	if opts.Log == nil {
		opts.Log = log.Log
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Driver{
		opts:         opts,
		ctx:          ctx,
		cancel:       cancel,
		node:         control.New(time.Now(), opts.Node),
		watchChanged: make(chan struct{}, 1),
	}
	d.catalog.Store(d.node.Catalog())
	return d
}

// Run calls the node's Tick periodically until ctx ends, then stops all pulls.
func (d *Driver) Run(ctx context.Context) error {
	ticker := time.NewTicker(control.TickPeriod)
	defer ticker.Stop()
	defer d.stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.callNode(func(now time.Time) []control.Output { return d.node.Tick(now) })
		}
	}
}

// stop cancels the running pulls and waits for them.
func (d *Driver) stop() {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	d.cancel()
	d.pulls.Wait()
}

// HandleDatagram handles the payload of an authenticated control envelope.
func (d *Driver) HandleDatagram(from netip.AddrPort, payload []byte) error {
	m, err := control.Decode(payload)
	if err != nil {
		return err
	}
	d.callNode(func(now time.Time) []control.Output { return d.node.Handle(now, from, m) })
	return nil
}

// callNode calls the node under the lock, publishes its state, and performs the
// outputs after releasing the lock.
func (d *Driver) callNode(call func(now time.Time) []control.Output) {
	d.mu.Lock()
	now := time.Now()
	outputs := call(now)
	changed := d.publish(now)
	d.mu.Unlock()
	if len(changed) > 0 && d.opts.OnCandidates != nil {
		d.opts.OnCandidates(changed)
	}
	for _, o := range outputs {
		d.perform(o)
	}
}

// timedPeriod is how often weights that change with time are published.
const timedPeriod = time.Second

// publish stores the node's state for readers without the lock, and returns the
// services whose candidates may have changed.
func (d *Driver) publish(now time.Time) []service.ID {
	d.catalog.Store(d.node.Catalog())
	d.ready.Store(d.node.Ready())
	table := d.node.Table()
	if table == nil {
		targets := d.node.ReplyTargets(now)
		d.replyTargets.Store(&targets)
		return nil
	}
	timed := now.Sub(d.lastTimed) >= timedPeriod
	if timed {
		d.lastTimed = now
	}
	changed := table.TakeChanged(timed)
	for _, id := range changed {
		d.candidates.Store(id, table.Candidates(now, id))
	}
	return changed
}

func (d *Driver) perform(o control.Output) {
	switch o := o.(type) {
	case control.Datagram:
		// The protocol tolerates lost datagrams, so a failed send needs no handling.
		_ = d.opts.Send(o.To, o.Payload)
	case control.CatalogPull:
		d.startPull(func() { d.pullCatalog(o) })
	case control.MemberPull:
		d.startPull(func() { d.pullMembers(o) })
	case control.Notice:
		d.handleNotice(o)
	}
}

func (d *Driver) handleNotice(n control.Notice) {
	switch n.Kind {
	case control.NoticeWatcher:
		select {
		case d.watchChanged <- struct{}{}:
		default:
		}
	case control.NoticeStale:
		d.opts.Log.WithError(n.Err).Error("refused a configuration older than the one in force")
	case control.NoticeFrozen:
		d.opts.Log.WithField("gap", n.Gap).Warn("process was frozen")
	case control.NoticeIncarnation:
		d.opts.Log.WithField("incarnation", n.Incarnation).Warn("chose a higher incarnation")
	}
	if d.opts.OnNotice != nil {
		d.opts.OnNotice(n)
	}
}

// Catalog returns the active configuration.
func (d *Driver) Catalog() *catalog.Catalog { return d.catalog.Load() }

// Ready reports whether the node has a catalog and, as a balancer, has joined its peers.
func (d *Driver) Ready() bool { return d.ready.Load() }

// Candidates returns the agents that may be offered new flows of a service,
// sorted by address. Callers must not change the slice.
func (d *Driver) Candidates(id service.ID) []presence.Candidate {
	if list, ok := d.candidates.Load(id); ok {
		return list.([]presence.Candidate)
	}
	return nil
}

// Members returns all remembered members, sorted by address.
func (d *Driver) Members() []member.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Bucket()
}

// ReplyTargets returns the balancers through which an agent sends replies.
// Callers must not change the slice. It takes no lock, so that it can be called
// for each packet.
func (d *Driver) ReplyTargets() []netip.AddrPort {
	if targets := d.replyTargets.Load(); targets != nil {
		return *targets
	}
	return nil
}

// Peers returns agents of the same service that accept new flows.
func (d *Driver) Peers() []member.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Peers(time.Now())
}

// Self returns the member record that the node announces.
func (d *Driver) Self() member.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Self()
}

// AddContacts adds balancers to contact besides the seeds, such as those of the roster.
func (d *Driver) AddContacts(found []netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.node.AddContacts(found)
}

// BalancersInContact returns the number of balancers that the node can reach as far as it knows.
func (d *Driver) BalancersInContact() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.BalancersInContact(time.Now())
}

// SetState announces a new state of this node.
func (d *Driver) SetState(s member.State) {
	d.callNode(func(now time.Time) []control.Output { return d.node.SetState(now, s) })
}

// SetCapacity announces a new capacity of this agent's backend server.
func (d *Driver) SetCapacity(capacity uint16) {
	d.callNode(func(now time.Time) []control.Output { return d.node.SetCapacity(now, capacity) })
}

// SetLoad sets the load that the next announcement carries.
func (d *Driver) SetLoad(load uint8) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.node.SetLoad(load)
}

// ApplyDelta applies a delta read from the platform store.
func (d *Driver) ApplyDelta(delta catalog.Delta) error {
	var err error
	d.callNode(func(time.Time) []control.Output {
		var out []control.Output
		out, err = d.node.ApplyStore(delta)
		return out
	})
	return err
}

// QueryStatus starts a query of which nodes have applied a catalog revision.
func (d *Driver) QueryStatus(revision int64) {
	d.callNode(func(now time.Time) []control.Output { return d.node.QueryStatus(now, revision) })
}

// Status returns the replies to the last QueryStatus so far.
func (d *Driver) Status() control.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Status()
}

// Usage returns the datagram traffic sent so far, by class, and the stream
// bytes sent and received.
func (d *Driver) Usage() (usage [control.Classes]control.Usage, streamSent, streamReceived uint64) {
	d.mu.Lock()
	usage = d.node.Usage()
	d.mu.Unlock()
	return usage, d.streamSent.Load(), d.streamReceived.Load()
}

// Counters returns the event counters of the node.
func (d *Driver) Counters() control.Counters {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Counters()
}
