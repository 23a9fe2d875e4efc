// Package spread decides at an agent whether it keeps a new flow that it could
// take, or passes it to the next candidate because that one is less occupied.
//
// An agent knows its own load exactly. It knows that of its peers from the
// reports that their claims carry: an agent that takes a flow tells the other
// candidates of the flow, in every data centre, and says its load in the same
// datagram. The decisions are pure: time and randomness come in as arguments.
package spread

import (
	"net/netip"
	"time"
)

const (
	// ReportLifetime is how long a report of a peer is used.
	ReportLifetime = 10 * time.Second
	// MaxPeers is the number of peers whose reports are kept.
	MaxPeers = 64
	// tolerance is the relative difference of load below which a flow is kept.
	// It bounds the number of passes while the load is even.
	tolerance = 0.02
	// certainDifference is the relative difference of load from which a flow is
	// always passed. Between the two the choice is random, so that agents with
	// the same old report of one peer do not all choose it.
	certainDifference = 0.08
)

// Tracker holds what one agent knows of its own load and of that of its peers.
// It is not safe for concurrent use.
type Tracker struct {
	flows, slots Meter
	peers        map[netip.AddrPort]peerReport
}

type peerReport struct {
	Report
	heard time.Time
}

// NewTracker returns the tracker of an agent that is idle at now.
func NewTracker(now time.Time) *Tracker {
	return &Tracker{flows: NewMeter(now), slots: NewMeter(now), peers: make(map[netip.AddrPort]peerReport)}
}

// SetFlows notes the occupied share of the agent's connections from now on.
func (t *Tracker) SetFlows(now time.Time, share float64) {
	t.flows.Set(now, share)
}

// SetSlots notes the occupied share of the backend server's slots from now on.
func (t *Tracker) SetSlots(now time.Time, share float64) {
	t.slots.Set(now, share)
}

// Report returns what the agent tells its peers. The slots follow from the open
// flows and from the slots that flows occupied lately, so that an agent whose
// flows were just opened does not look idle.
func (t *Tracker) Report(now time.Time) Report {
	report := Report{Flows: t.flows.current, Slots: t.slots.Value(now)}
	if mean := t.flows.Value(now); mean > 0 {
		report.Slots *= report.Flows / mean
	}
	return report
}

// RecordReport takes the report of a peer.
func (t *Tracker) RecordReport(now time.Time, from netip.AddrPort, report Report) {
	if _, known := t.peers[from]; !known && len(t.peers) >= MaxPeers {
		t.forgetOldest()
	}
	t.peers[from] = peerReport{Report: report, heard: now}
}

// ShouldOffload reports whether a new flow should go to the agent next instead of
// this one; random is a random number in [0, 1). Without a recent report of next
// the answer is false: a flow is only passed to an agent that took one lately.
func (t *Tracker) ShouldOffload(now time.Time, next netip.AddrPort, random float64) bool {
	report, known := t.peers[next]
	if !known || now.Sub(report.heard) > ReportLifetime || report.Flows >= fullFlows {
		return false
	}
	excess := difference(t.Report(now), report.Report)
	return random < (excess-tolerance)/(certainDifference-tolerance)
}

func (t *Tracker) forgetOldest() {
	var oldest netip.AddrPort
	for addr, report := range t.peers {
		if !oldest.IsValid() || report.heard.Before(t.peers[oldest].heard) {
			oldest = addr
		}
	}
	delete(t.peers, oldest)
}
