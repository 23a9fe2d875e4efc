package spread

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/admission"
)

// nextRequest sends a request on an open flow.
func (r *run) nextRequest() {
	perSecond := r.options.Load * r.speeds() * slotsPerHost / r.where.requestMean.Seconds()
	r.after(exponential(r.arrivals, time.Duration(float64(time.Second)/perSecond)), r.nextRequest)
	work := duration(r.arrivals, r.where.requestMean, r.scene.skewed)
	list := r.open
	if r.scene.skewed && len(r.active) > 0 && r.arrivals.Float64() < activeRequests {
		list = r.active
	}
	pick := r.arrivals.Float64()
	askable := r.arrivals.Float64() < r.options.SlotQueryShare
	if len(list) == 0 {
		return
	}
	f := list[int(pick*float64(len(list)))]
	if f.host == nil {
		return // the caller has no connection
	}
	q := &request{caller: f.caller, work: work, askable: askable, arrived: r.now, deadline: r.now.Add(requestDeadline)}
	f.host.budget.CountRequest(r.now)
	r.measure.request(r.now)
	r.serve(f.host, q)
}

// serve finds a host for a request: the own one, or peers if that has no room.
func (r *run) serve(own *host, q *request) {
	peers := r.peersOf(own)
	if own.draining && len(peers) > 0 {
		r.relay(q, peers)
		return
	}
	if r.policy.asks && q.askable && r.ask(own, q) {
		return
	}
	if r.offerRequest(own, q) {
		return
	}
	if !own.budget.Take(r.now) {
		r.measure.refusedRequest(r.now)
		return
	}
	r.relay(q, peers)
}

// ask offers a request that would wait to a random peer with a free slot. The
// agents of a service are mostly in other data centres, from where no load
// reports come, so the choice uses none.
func (r *run) ask(own *host, q *request) bool {
	if own.slots.HasFreeSlot(r.now) || !own.asking.Allow(r.choices.Float64()) {
		return false
	}
	var peers []*host
	for _, h := range r.hosts {
		if h != own && h.present && !h.draining {
			peers = append(peers, h)
		}
	}
	if len(peers) == 0 {
		return false
	}
	peer := peers[r.choices.IntN(len(peers))]
	found := peer.slots.HasFreeSlot(r.now)
	own.asking.Record(found)
	r.measure.ask(r.now, found)
	q.hops++
	if found {
		return r.offerRequest(peer, q)
	}
	q.hops++ // the way back
	return false
}

func (r *run) relay(q *request, peers []*host) {
	q.hops++
	for _, peer := range peers[:min(len(peers), maxRelays)] {
		r.measure.relay(r.now)
		if r.offerRequest(peer, q) {
			return
		}
	}
	r.measure.refusedRequest(r.now)
}

// loadBuckets is the number of steps in which the product compares peers.
const loadBuckets = 8

// peersOf returns the other hosts, the least loaded first, as the gateway ranks them.
func (r *run) peersOf(own *host) []*host {
	type ranked struct {
		peer *host
		rank float64
	}
	var all []ranked
	for _, h := range r.hosts {
		if h != own && h.present && !h.draining {
			all = append(all, ranked{h, math.Floor(h.announced*loadBuckets/256) + r.choices.Float64()})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	var peers []*host
	for _, entry := range all {
		peers = append(peers, entry.peer)
	}
	return peers
}

// offerRequest asks for a slot or a place in the queue of h.
func (r *run) offerRequest(h *host, q *request) bool {
	h.count(r.now)
	ticket, decision, changes := h.slots.Offer(r.now, r.choices.Float64(), q.caller, q.deadline)
	r.settle(h, changes)
	if decision.Verdict == admission.Refused {
		return false
	}
	q.runsAt, q.ticket = h, ticket
	if decision.Verdict == admission.Queued {
		h.waiting[ticket] = q
		return true
	}
	r.startRequest(q)
	return true
}

// settle carries out what admission decided about waiting requests.
func (r *run) settle(h *host, changes []admission.Change) {
	for _, change := range changes {
		q := h.waiting[change.ID]
		delete(h.waiting, change.ID)
		if change.Decision.Verdict == admission.Admitted {
			r.startRequest(q)
		} else {
			r.measure.refusedRequest(r.now)
		}
	}
	h.noteLoad(r.now)
}

func (r *run) startRequest(q *request) {
	wait := r.now.Sub(q.arrived)
	wait += time.Duration(q.hops) * hopTime
	r.measure.wait(r.now, wait)
	q.runsAt.noteLoad(r.now)
	h := q.runsAt
	r.after(time.Duration(float64(q.work)/h.speed), func() {
		h.count(r.now)
		r.settle(h, h.slots.Release(r.now, r.choices.Float64(), q.ticket))
	})
}

func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

// duration draws a duration: exponential, or of a bounded Pareto distribution.
func duration(random *rand.Rand, mean time.Duration, skewed bool) time.Duration {
	if !skewed {
		return exponential(random, mean)
	}
	shortest := float64(mean) / paretoMean
	u := random.Float64() * (1 - math.Pow(paretoRange, -paretoShape))
	return time.Duration(shortest * math.Pow(1-u, -1/paretoShape))
}
