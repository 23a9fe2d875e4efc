// Package flowagent decides, at an agent, which packets its backend server gets.
// The agent sees every packet to and from its backend server, so it alone knows
// which flows are open there. Balancers may be wrong about that: the agent hands
// over what belongs to its backend server and passes on the rest.
package flowagent

import (
	"net/netip"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/flowtable"
	"github.com/almondledge/almondledge/internal/hop"
	"github.com/almondledge/almondledge/internal/placement"
	"github.com/almondledge/almondledge/internal/route"
)

// Outcome is what became of a packet.
type Outcome uint8

// Outcomes.
const (
	// Malformed packets are dropped.
	Malformed Outcome = iota
	// Delivered packets went to the backend server that holds their flow.
	Delivered
	// Opened packets asked the backend server to open a flow.
	Opened
	// Probed packets went to the backend server because this process is younger than
	// the flows that it may hold.
	Probed
	// Forwarded packets went to another agent.
	Forwarded
	// Deferred opening packets were dropped because all backend servers are crowded;
	// the caller's next copy may find room.
	Deferred
	// Refused opening packets were answered with a reset: no backend server took them.
	Refused
	// FlowReset packets were answered with a reset: the flow's backend server is gone.
	FlowReset
	// Searched packets wait at their flow's home, which asks the agents for the flow.
	Searched
	// Unresolved packets were dropped: no agent that was asked has their flow.
	Unresolved
	// Claimed is no packet: the homes of flows are told who has them.
	Claimed
	// Replied packets went from the backend server to the caller.
	Replied
)

// Outcomes lists the names of all outcomes, for metrics.
var Outcomes = [...]string{"malformed", "delivered", "opened", "probed", "passed", "deferred", "refused", "ended", "searched", "lost", "claimed", "replied"}

// String returns the outcome as logs show it.
func (o Outcome) String() string { return Outcomes[o] }

// Reply is a packet for a caller.
type Reply struct {
	Caller flow.Endpoint
	Packet []byte
}

// Decision is what to do with a packet.
type Decision struct {
	Outcome Outcome
	Key     flow.Key
	// Reason says in a word why the packet was not simply delivered.
	Reason string
	// AnswerLatency is the time from an opening packet to the backend server's first answer,
	// with the packet that is that answer; zero with all others.
	AnswerLatency time.Duration
	// ToBackend is set when the packet, as changed in place, goes to the backend server.
	ToBackend []byte
	Replies   []Reply
	Sends     []hop.Send
}

// Sizes of the agent's tables.
const (
	// flowTableSize bounds the flows of one backend server.
	flowTableSize = 16384
	// claimTableSize bounds the flows of other agents that this one keeps track of.
	claimTableSize = 32768
	// foreignTableSize bounds the flows that the backend server is known not to hold.
	foreignTableSize = 8192
	// cookies is the number of packets at the backend server whose way is remembered.
	cookies = 4096
)

// Limits of the requests in progress for each slot of the backend server.
const (
	// crowdedFirst is from where on first opening packets go elsewhere, and crowdedCopy
	// from where on copies do.
	crowdedFirst = 3
	crowdedCopy  = 2
	// crowdedPriority is added for routes above the lowest priority.
	crowdedPriority = 1
	// lastCopy is the number of the last copy of an opening packet.
	lastCopy = 2
	// maxReliefs bounds the crowded agents that one opening packet passes.
	maxReliefs = 2
)

// Times of the agent.
const (
	// foreignTime is how long the backend server is not asked again about a flow that
	// it did not hold.
	foreignTime = 5 * time.Second
	// bornMargin is how much younger than its backend server this process may be
	// without having missed any flow.
	bornMargin = 200 * time.Millisecond
	// defaultIdleTimeout holds while no desired state is in force.
	defaultIdleTimeout = 30 * time.Second
	// idleMargin keeps flows a little longer than their idle timeout, because the
	// backend server's clock decides.
	idleMargin = 5 * time.Second
)

// Config describes an agent.
type Config struct {
	// Self is the address at which other members reach the agent.
	Self netip.AddrPort
	// Service is the service of the backend server.
	Service string
	// FlowLifetime is the age from which a flow may be forgotten; before that, a new
	// process must reckon with flows that it has not seen begin.
	FlowLifetime time.Duration
	Codec        flow.Codec
	Directory    *placement.Directory
}

// journey is the way of a packet that is at the backend server.
type journey struct {
	cookie  uint32
	forward hop.Forward
}

// Agent routes packets beside one backend server. It is not safe for concurrent use.
type Agent struct {
	cfg     Config
	self    flow.Endpoint
	started time.Time
	// startedUnix is the start in Unix milliseconds, to compare with Backend.Born.
	startedUnix int64
	backend     fleet.Backend
	sawStart    bool
	routes      *route.Table
	flows       *flowtable.Table
	// claims holds the agents that have flows of which this agent keeps track.
	claims     *simplelru.LRU[flow.Key, flow.Endpoint]
	foreign    *simplelru.LRU[flow.Key, time.Time]
	searches   *simplelru.LRU[flow.Key, *search]
	journeys   [cookies]journey
	lastCookie uint32
}

// New returns an agent that starts at time now.
func New(now time.Time, cfg Config) *Agent {
	return &Agent{
		cfg:         cfg,
		self:        flow.EndpointOf(cfg.Self),
		started:     now,
		startedUnix: now.UnixMilli(),
		backend:     fleet.Backend{Service: cfg.Service},
		flows:       flowtable.New(flowTableSize),
		claims:      newLRU[flow.Endpoint](claimTableSize),
		foreign:     newLRU[time.Time](foreignTableSize),
		searches:    newLRU[*search](searchTableSize),
	}
}

func newLRU[V any](size int) *simplelru.LRU[flow.Key, V] {
	l, err := simplelru.NewLRU[flow.Key, V](size, nil)
	if err != nil {
		panic(err) // only a size below one is refused, which is a fault of the program
	}
	return l
}

// SetRoutes puts a desired state in force.
func (a *Agent) SetRoutes(t *route.Table) { a.routes = t }

// Backend returns what is known of the backend server.
func (a *Agent) Backend() fleet.Backend { return a.backend }

// Load returns how busy the backend server is.
func (a *Agent) Load() fleet.Load {
	return fleet.Load{Flows: uint16(min(a.flows.Open(), 65535)), Active: uint16(min(a.flows.Active(), 65535))}
}

// Flows returns the number of remembered flows.
func (a *Agent) Flows() int { return a.flows.Len() }

// Table is a table of an agent: when it is full, the entry used longest ago makes room.
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
		{"foreign", a.foreign.Len, foreignTableSize},
		{"searches", a.searches.Len, searchTableSize},
	}
}

// SetBackend takes over a new state of the backend server. If another one has
// started, or it is gone, the callers of its flows are told at once.
//
// SawStart says that the first report of the backend server's life came here, so
// that no flow of it began unseen.
func (a *Agent) SetBackend(b fleet.Backend, sawStart bool) Decision {
	a.sawStart = sawStart
	b.Service = a.cfg.Service
	restarted := a.backend.StartMillis != 0 && b.StartMillis != 0 && b.StartMillis != a.backend.StartMillis
	gone := b.State == fleet.BackendGone && a.backend.State != fleet.BackendGone
	a.backend = b
	d := Decision{Outcome: FlowReset}
	if !restarted && !gone {
		return d
	}
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

// Tick forgets old flows, reviews searches, and tells the homes of flows whose homes
// have changed.
func (a *Agent) Tick(now time.Time, homesChanged bool) []Decision {
	idle := a.routes.IdleTimeout()
	if idle == 0 {
		idle = defaultIdleTimeout
	}
	a.flows.Expire(now, idle+idleMargin)
	decisions := a.reviewSearches(now)
	if homesChanged {
		decisions = append(decisions, Decision{Outcome: Claimed, Sends: a.claimAll()})
	}
	return decisions
}

// mayHoldUnseen reports whether the backend server may hold flows that this process
// has not seen begin, because the process is younger.
func (a *Agent) mayHoldUnseen(now time.Time, key flow.Key) bool {
	if a.backend.State == fleet.BackendGone || now.Sub(a.started) > a.cfg.FlowLifetime {
		return false
	}
	younger := a.backend.StartMillis != 0 && a.startedUnix-a.backend.StartMillis < bornMargin.Milliseconds()
	if younger && a.sawStart {
		return false
	}
	until, known := a.foreign.Peek(key)
	return !known || now.After(until)
}
