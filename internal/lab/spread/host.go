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

// retryBudgetShare is the retry budget that agents use, as a share of the requests.
const retryBudgetShare = 0.1

// host is a backend server with its agent.
type host struct {
	addr    netip.AddrPort
	speed   float64
	present bool
	// draining hosts accept no new flows and no new requests.
	draining    bool
	flows       int
	openings    *opening.Table
	slots       *admission.Controller
	tracker     *spread.Tracker
	budget      *retry.Budget
	slotQueries *spread.SlotQueryLimiter
	queued      map[admission.RequestID]*request
	// announcedLoad is the last announced load, from 0 to 255.
	announcedLoad float64
	// windowSlotTime is the time for which slots were occupied in the current window up to
	// accountedUntil, summed over the slots.
	windowSlotTime time.Duration
	accountedUntil time.Time
	// totalSlotTime is the sum of windowSlotTime over all windows after the warm-up.
	totalSlotTime time.Duration
}

func newHost(index int, now time.Time) *host {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(index + 1)}), 7000)
	limits := service.Limits{Connections: connectionsPerHost, Slots: slotsPerHost, QueueLength: queuePerHost}
	return &host{
		addr:           addr,
		speed:          1,
		openings:       opening.NewTable(addr),
		slots:          admission.New(now, limits, admission.Ramp{}),
		tracker:        spread.NewTracker(now),
		budget:         retry.NewBudget(retryBudgetShare),
		slotQueries:    spread.NewSlotQueryLimiter(),
		queued:         make(map[admission.RequestID]*request),
		accountedUntil: now,
	}
}

func (h *host) setFlows(now time.Time, flows int) {
	h.flows = flows
	h.tracker.SetFlows(now, float64(flows)/connectionsPerHost)
}

func (h *host) acceptsFlows() bool {
	return h.present && !h.draining && h.flows < connectionsPerHost
}

// accountSlotTime adds the slot time used since accountedUntil to windowSlotTime. It must
// be called before the number of occupied slots changes.
func (h *host) accountSlotTime(now time.Time) {
	h.windowSlotTime += now.Sub(h.accountedUntil) * time.Duration(h.slots.Running())
	h.accountedUntil = now
}

func (h *host) updateSlotLoad(now time.Time) {
	h.tracker.SetSlots(now, float64(h.slots.Load(now))/math.MaxUint8)
}

// flow is a caller's flow.
type flow struct {
	caller netip.Addr
	host   *host
	// index is the flow's position in run.openFlows.
	index int
	// active flows send activeRequestShare of the requests in scenarios with skewed work.
	active bool
	ended  bool
}

// request is one request on a flow.
type request struct {
	caller    netip.Addr
	workTime  time.Duration
	arrivedAt time.Time
	mayQuery  bool
	// hops counts the one-way messages between agents before the request runs.
	hops        int
	server      *host
	admissionID admission.RequestID
	deadline    time.Time
}

// Parameters of the bounded Pareto distribution from which skewed durations are drawn.
const (
	paretoShape = 1.5
	// paretoMaxRatio is the longest duration divided by the shortest.
	paretoMaxRatio = 30.0
	// paretoMeanRatio is the mean duration divided by the shortest.
	paretoMeanRatio = 2.467
)
