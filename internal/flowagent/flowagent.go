// Package flowagent decides which packets an agent delivers to its backend server. Every packet to and from
// the backend server passes through its agent, so only the agent knows which flows are open at that backend
// server. Balancers may hold an outdated view: the agent delivers the packets of its backend server's flows
// and forwards all others.
//
// The owner of a flow is the agent whose backend server holds it. Each flow has two home agents,
// ranked by a hash of its key, which record the owner from ownership claims. A home agent that has
// no record of the owner queries the other agents.
package flowagent

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/flowtable"
	"github.com/almondledge/almondledge/internal/hop"
	"github.com/almondledge/almondledge/internal/openqueue"
	"github.com/almondledge/almondledge/internal/outlier"
	"github.com/almondledge/almondledge/internal/placement"
	"github.com/almondledge/almondledge/internal/route"
)

// Outcome is what an agent did with a packet.
type Outcome uint8

// Outcomes.
const (
	// Malformed packets could not be parsed and were dropped.
	Malformed Outcome = iota
	// Delivered packets were sent to the backend server, which holds their flow.
	Delivered
	// Opened packets are opening packets that were sent to the backend server.
	Opened
	// Probed packets were sent to the backend server although this agent does not know their flow: the flow
	// may have been opened before the agent started. The backend server returns the packet if it does not
	// hold the flow.
	Probed
	// Forwarded packets were sent to another agent.
	Forwarded
	// Queued opening packets wait at this agent because all backend servers are overloaded.
	Queued
	// Refused opening packets were answered with a reset because no backend server accepted them.
	Refused
	// FlowReset packets were answered with a reset because no backend server holds their flow any
	// more.
	FlowReset
	// Searched packets wait at a home agent of their flow, which queries the other agents for the flow.
	Searched
	// Unresolved packets were dropped because the owner of their flow was not found or is still being
	// searched for.
	Unresolved
	// Claimed is the outcome of a round of ownership claims to home agents, not of a packet.
	Claimed
	// Replied packets were sent to the caller on behalf of the backend server.
	Replied
	// Duplicate packets were dropped: they are opening packets of a flow that is open, delayed on their way.
	Duplicate
)

// Outcomes lists the printed names of all outcomes, in the order of the constants.
var Outcomes = [...]string{"malformed", "delivered", "opened", "probed", "passed", "queued", "refused", "ended", "searched", "lost", "claimed", "replied", "duplicate"}

// String returns the outcome as logs show it.
func (o Outcome) String() string { return Outcomes[o] }

// Reply is a packet for a caller.
type Reply struct {
	Caller flow.Endpoint
	Packet []byte
}

// Decision says what to do about a packet or another event.
type Decision struct {
	Outcome Outcome
	Key     flow.Key
	// Reason is the logged keyword for the cause of the outcome, or "".
	Reason string
	// AnswerLatency is the time from a flow's opening packet to the backend server's first answer. It is zero
	// for all packets except that answer.
	AnswerLatency time.Duration
	// JudgementChanged is set if the agent begins or ends to avoid its backend server (see Agent.Avoided).
	JudgementChanged bool
	// Waited is how long an opening packet has waited in the queue.
	Waited time.Duration
	// Opening describes the opening packet of an outcome Opened.
	Opening Opening
	// ToBackend is the packet to send to the backend server, modified in place, or nil.
	ToBackend []byte
	Replies   []Reply
	Sends     []hop.Send
}

// Opening describes an opening packet that went to the backend server.
type Opening struct {
	// Copy is the number of the copy, zero for the first opening packet of a flow.
	Copy uint32
	// SenderVersion is the version of the desired state by which the packet was routed.
	SenderVersion uint64
}

// Sizes of the agent's tables, in entries.
const (
	// flowTableSize bounds the flows of the backend server.
	flowTableSize = 16384
	// claimTableSize bounds the flows whose owners this agent records as a home agent.
	claimTableSize = 32768
	// notHeldTableSize bounds the flows that the backend server is known not to hold.
	notHeldTableSize = 8192
	// maxSentPackets bounds the packets sent to the backend server whose routing information is kept.
	maxSentPackets = 4096
	// queueSize bounds the opening packets that wait for the backend server.
	queueSize = 256
)

// Timeouts and margins.
const (
	// notHeldTime is how long the backend server is not probed again for a flow that it did not hold.
	notHeldTime = 5 * time.Second
	// startMargin is the delay after the start of its backend server within which this process must have
	// started to have seen all flows open.
	startMargin = 200 * time.Millisecond
	// defaultIdleTimeout applies while no desired state is active.
	defaultIdleTimeout = 30 * time.Second
	// defaultRequestTimeout applies while no route has a timeout.
	defaultRequestTimeout = 10 * time.Second
	// idleMargin keeps flows a little longer than their idle timeout, because the clock of the
	// backend server decides when they end.
	idleMargin = 5 * time.Second
)

// Config describes an agent.
type Config struct {
	// Self is the address at which other members reach the agent.
	Self netip.AddrPort
	// Service is the service of the backend server.
	Service string
	// FlowLifetime is the age from which a flow may be forgotten. A process that has run for a shorter time
	// must expect flows of its backend server that it has not seen open.
	FlowLifetime time.Duration
	Codec        flow.Codec
	Directory    *placement.Directory
}

// sentPacket is the routing information of a packet that went to the backend server. It is needed
// to forward the packet if the backend server returns it.
type sentPacket struct {
	cookie  uint32
	forward hop.Forward
}

// Agent routes packets beside one backend server. It is not safe for concurrent use.
type Agent struct {
	cfg     Config
	self    flow.Endpoint
	started time.Time
	// startedMillis is the start time of this process in Unix milliseconds, which is compared with that of
	// the backend server.
	startedMillis int64
	backend       fleet.Backend
	// sawFirstReport: see SetBackend.
	sawFirstReport bool
	routes         *route.Table
	flows          *flowtable.Table
	// claims records the owners of flows for which this agent is a home agent.
	claims *simplelru.LRU[flow.Key, flow.Endpoint]
	// notHeld maps flows that the backend server does not hold to the time at which their entry expires.
	notHeld  *simplelru.LRU[flow.Key, time.Time]
	searches *simplelru.LRU[flow.Key, *search]
	// queue holds the opening packets that wait for the backend server.
	queue *openqueue.Queue
	// detector judges the backend server by the results of its requests.
	detector    outlier.Detector
	sentPackets [maxSentPackets]sentPacket
	lastCookie  uint32
}

// New returns an agent that starts at time now.
func New(now time.Time, cfg Config) *Agent {
	return &Agent{
		cfg:           cfg,
		self:          flow.EndpointOf(cfg.Self),
		started:       now,
		startedMillis: now.UnixMilli(),
		backend:       fleet.Backend{Service: cfg.Service},
		flows:         flowtable.New(flowTableSize),
		claims:        newLRU[flow.Endpoint](claimTableSize),
		notHeld:       newLRU[time.Time](notHeldTableSize),
		searches:      newLRU[*search](searchTableSize),
		queue:         openqueue.New(queueSize),
	}
}

func newLRU[V any](size int) *simplelru.LRU[flow.Key, V] {
	l, err := simplelru.NewLRU[flow.Key, V](size, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below one, which would be a programming error
	}
	return l
}

// SetRoutes sets the active desired state.
func (a *Agent) SetRoutes(t *route.Table) { a.routes = t }

// Backend returns the last known state of the backend server.
func (a *Agent) Backend() fleet.Backend { return a.backend }

// Avoided reports whether new flows go to other agents because requests fail at the backend server.
func (a *Agent) Avoided() bool { return a.detector.Avoided() }

// Load returns the numbers of open flows and of requests in progress, including those of the flows that wait
// to be opened.
func (a *Agent) Load() fleet.Load {
	active := a.flows.Active() + a.queue.Len()
	return fleet.Load{Flows: uint16(min(a.flows.Open(), 65535)), Active: uint16(min(active, 65535))}
}

// Flows returns the number of flows in the table, including those that ended recently.
func (a *Agent) Flows() int { return a.flows.Len() }

// Table describes a bounded table of an agent. A full table evicts the least recently used entry.
type Table struct {
	Name    string
	Entries func() int
	Limit   int
}

// Tables returns the tables of the agent, for metrics.
func (a *Agent) Tables() []Table {
	return []Table{
		{"flows", a.Flows, flowTableSize},
		{"claims", a.claims.Len, claimTableSize},
		{"foreign", a.notHeld.Len, notHeldTableSize},
		{"searches", a.searches.Len, searchTableSize},
		{"queue", a.queue.Len, queueSize},
	}
}

// SetBackend applies a new state of the backend server. If the backend server has restarted or is
// gone, the callers of its open flows get resets.
//
// sawFirstReport says that this process received the first report of the backend server's
// incarnation, so that it has seen all flows of that incarnation open.
func (a *Agent) SetBackend(b fleet.Backend, sawFirstReport bool) Decision {
	a.sawFirstReport = sawFirstReport
	b.Service = a.cfg.Service
	restarted := a.backend.StartMillis != 0 && b.StartMillis != 0 && b.StartMillis != a.backend.StartMillis
	gone := b.State == fleet.BackendGone && a.backend.State != fleet.BackendGone
	a.backend = b
	d := Decision{Outcome: FlowReset}
	if !restarted && !gone {
		return d
	}
	a.detector.Forget()
	a.flows.Visit(func(key flow.Key, e *flowtable.Entry) {
		if restarted && e.FirstSeenMillis() >= b.StartMillis {
			return // opened at the new backend server before its first report
		}
		if e.Phase == flowtable.Open {
			d.Replies = append(d.Replies, Reply{key.Caller, a.cfg.Codec.Reset(key, e.CallerAck)})
		}
		a.flows.Remove(key)
	})
	return d
}

// Tick expires old and waiting flows, and advances searches. If homeAgentsChanged is set, it also sends ownership
// claims for the flows whose home agents have changed.
func (a *Agent) Tick(now time.Time, homeAgentsChanged bool) []Decision {
	idle := a.routes.IdleTimeout()
	if idle == 0 {
		idle = defaultIdleTimeout
	}
	a.flows.ExpireRequests(now, cmp.Or(a.routes.MaxTimeout(), defaultRequestTimeout))
	a.flows.Expire(now, idle+idleMargin)
	decisions := a.advanceSearches(now)
	decisions = a.expireQueue(now, decisions)
	if homeAgentsChanged {
		decisions = append(decisions, Decision{Outcome: Claimed, Sends: a.renewClaims()})
	}
	return decisions
}

// mayHoldUnseen reports whether the backend server may hold the flow of key although this process
// has not seen it open, because the flow may be older than the process.
func (a *Agent) mayHoldUnseen(now time.Time, key flow.Key) bool {
	if a.backend.State == fleet.BackendGone || now.Sub(a.started) > a.cfg.FlowLifetime {
		return false
	}
	agentIsOlder := a.backend.StartMillis != 0 && a.startedMillis-a.backend.StartMillis < startMargin.Milliseconds()
	if agentIsOlder && a.sawFirstReport {
		return false
	}
	until, known := a.notHeld.Peek(key)
	return !known || now.After(until)
}
