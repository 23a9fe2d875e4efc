package spread

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/admission"
)

// nextRequest sends a request on a random open flow and schedules the next request.
func (r *run) nextRequest() {
	perSecond := r.options.Load * r.requestCapacity() * slotsPerHost / r.workload.requestMean.Seconds()
	r.after(exponential(r.callerRand, time.Duration(float64(time.Second)/perSecond)), r.nextRequest)
	work := duration(r.callerRand, r.workload.requestMean, r.scenario.skewed)
	list := r.openFlows
	if r.scenario.skewed && len(r.activeFlows) > 0 && r.callerRand.Float64() < activeRequestShare {
		list = r.activeFlows
	}
	position := r.callerRand.Float64()
	mayQuery := r.callerRand.Float64() < r.options.SlotQueryShare
	if len(list) == 0 {
		return
	}
	f := list[int(position*float64(len(list)))]
	if f.host == nil {
		return // the caller has no connection
	}
	q := &request{caller: f.caller, workTime: work, mayQuery: mayQuery, arrivedAt: r.now, deadline: r.now.Add(requestDeadline)}
	f.host.budget.CountRequest(r.now)
	r.recorder.countRequest(r.now)
	r.serve(f.host, q)
}

// serve offers a request to the flow's own host, or to peers if that host is draining or
// cannot admit the request. If the policy queries slots, a peer may admit it first.
func (r *run) serve(local *host, q *request) {
	peers := r.rankedPeers(local)
	if local.draining && len(peers) > 0 {
		r.relay(q, peers)
		return
	}
	if r.policy.queriesSlots && q.mayQuery && r.querySlot(local, q) {
		return
	}
	if r.admitRequest(local, q) {
		return
	}
	if !local.budget.Take(r.now) {
		r.recorder.countRefusedRequest(r.now)
		return
	}
	r.relay(q, peers)
}

// querySlot queries a random peer for a free slot on behalf of a request that would wait,
// and reports whether the peer admitted the request. It does not choose the peer by load
// reports, because most agents of a service are in other data centres, from which no load
// reports arrive.
func (r *run) querySlot(local *host, q *request) bool {
	if local.slots.HasFreeSlot(r.now) || !local.slotQueries.Allow(r.systemRand.Float64()) {
		return false
	}
	var peers []*host
	for _, h := range r.hosts {
		if h != local && h.present && !h.draining {
			peers = append(peers, h)
		}
	}
	if len(peers) == 0 {
		return false
	}
	peer := peers[r.systemRand.IntN(len(peers))]
	found := peer.slots.HasFreeSlot(r.now)
	local.slotQueries.Record(found)
	r.recorder.countSlotQuery(r.now, found)
	q.hops++
	if found {
		return r.admitRequest(peer, q)
	}
	q.hops++ // the peer's answer
	return false
}

func (r *run) relay(q *request, peers []*host) {
	q.hops++
	for _, peer := range peers[:min(len(peers), maxRelays)] {
		r.recorder.countRelay(r.now)
		if r.admitRequest(peer, q) {
			return
		}
	}
	r.recorder.countRefusedRequest(r.now)
}

// loadBuckets is the number of load levels that the gateway distinguishes when it ranks
// peers.
const loadBuckets = 8

// rankedPeers returns the other hosts, the least loaded first, as the gateway ranks them.
func (r *run) rankedPeers(local *host) []*host {
	type rankedPeer struct {
		peer *host
		rank float64
	}
	var all []rankedPeer
	for _, h := range r.hosts {
		if h != local && h.present && !h.draining {
			all = append(all, rankedPeer{h, math.Floor(h.announcedLoad*loadBuckets/256) + r.systemRand.Float64()})
		}
	}
	slices.SortFunc(all, func(a, b rankedPeer) int { return cmp.Compare(a.rank, b.rank) })
	var peers []*host
	for _, entry := range all {
		peers = append(peers, entry.peer)
	}
	return peers
}

// admitRequest offers the request to h and reports whether h runs or queues it.
func (r *run) admitRequest(h *host, q *request) bool {
	h.accountSlotTime(r.now)
	id, decision, changes := h.slots.Offer(r.now, r.systemRand.Float64(), q.caller, q.deadline)
	r.applyChanges(h, changes)
	if decision.Verdict == admission.Refused {
		return false
	}
	q.server, q.admissionID = h, id
	if decision.Verdict == admission.Queued {
		h.queued[id] = q
		return true
	}
	r.startRequest(q)
	return true
}

// applyChanges starts or refuses each queued request for which admission returned a
// decision.
func (r *run) applyChanges(h *host, changes []admission.Change) {
	for _, change := range changes {
		q := h.queued[change.ID]
		delete(h.queued, change.ID)
		if change.Decision.Verdict == admission.Admitted {
			r.startRequest(q)
		} else {
			r.recorder.countRefusedRequest(r.now)
		}
	}
	h.updateSlotLoad(r.now)
}

func (r *run) startRequest(q *request) {
	wait := r.now.Sub(q.arrivedAt)
	wait += time.Duration(q.hops) * hopDelay
	r.recorder.recordWait(r.now, wait)
	q.server.updateSlotLoad(r.now)
	h := q.server
	r.after(time.Duration(float64(q.workTime)/h.speed), func() {
		h.accountSlotTime(r.now)
		r.applyChanges(h, h.slots.Release(r.now, r.systemRand.Float64(), q.admissionID))
	})
}

func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

// duration draws a duration from an exponential distribution, or from a bounded Pareto
// distribution if skewed.
func duration(random *rand.Rand, mean time.Duration, skewed bool) time.Duration {
	if !skewed {
		return exponential(random, mean)
	}
	shortest := float64(mean) / paretoMeanRatio
	u := random.Float64() * (1 - math.Pow(paretoMaxRatio, -paretoShape))
	return time.Duration(shortest * math.Pow(1-u, -1/paretoShape))
}
