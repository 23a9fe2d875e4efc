package spread

import (
	"math"
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/admission"
	"github.com/almondledge/almondledge/internal/opening"
	"github.com/almondledge/almondledge/internal/retry"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/spread"
)

// retryShare is the product's budget of retries.
const retryShare = 0.1

// host is a backend server with its agent.
type host struct {
	addr    netip.AddrPort
	speed   float64
	present bool
	// draining takes no new flow and no new request.
	draining bool
	flows    int
	opens    *opening.Table
	slots    *admission.Controller
	tracker  *spread.Tracker
	budget   *retry.Budget
	asking   *spread.SlotQueryLimiter
	waiting  map[admission.RequestID]*request
	// announced is the load of the last announcement.
	announced float64
	// busy is the slot time used in the current window, up to counted.
	busy    time.Duration
	counted time.Time
	// whole is the slot time used in all windows that count.
	whole time.Duration
}

func newHost(index int, now time.Time) *host {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(index + 1)}), 7000)
	limits := service.Limits{Connections: connectionsPerHost, Slots: slotsPerHost, QueueLength: queuePerHost}
	return &host{
		addr:    addr,
		speed:   1,
		opens:   opening.NewTable(addr),
		slots:   admission.New(now, limits, admission.Ramp{}),
		tracker: spread.NewTracker(now),
		budget:  retry.NewBudget(retryShare),
		asking:  spread.NewSlotQueryLimiter(),
		waiting: make(map[admission.RequestID]*request),
		counted: now,
	}
}

func (h *host) setFlows(now time.Time, flows int) {
	h.flows = flows
	h.tracker.SetFlows(now, float64(flows)/connectionsPerHost)
}

func (h *host) takesFlows() bool {
	return h.present && !h.draining && h.flows < connectionsPerHost
}

// count adds the slot time used until now; call it before slots change.
func (h *host) count(now time.Time) {
	h.busy += now.Sub(h.counted) * time.Duration(h.slots.Running())
	h.counted = now
}

func (h *host) noteLoad(now time.Time) {
	h.tracker.SetSlots(now, float64(h.slots.Load(now))/math.MaxUint8)
}

// flow is one flow of a caller.
type flow struct {
	caller netip.Addr
	host   *host
	// index is the place in the list of open flows, -1 when closed.
	index int
	// active flows send many requests.
	active bool
	ended  bool
}

// request is one request of a flow.
type request struct {
	caller  netip.Addr
	work    time.Duration
	arrived time.Time
	askable bool
	// hops counts the ways between agents before the request runs.
	hops     int
	runsAt   *host
	ticket   admission.RequestID
	deadline time.Time
}

// Bounded Pareto distribution of skewed durations.
const (
	paretoShape = 1.5
	// paretoRange is the longest duration over the shortest.
	paretoRange = 30.0
	// paretoMean is the mean over the shortest duration.
	paretoMean = 2.467
)
