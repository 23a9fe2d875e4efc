// Package spread decides whether an agent keeps a new flow that it could accept or
// offloads it. To offload a flow is to forward it to the next candidate because that
// agent is less loaded.
//
// An agent knows its own load exactly, and that of its peers from the load reports in
// their claims: an agent that accepts a flow sends a claim with its load to the other
// candidates of the flow, in every data centre. Decisions are deterministic, because
// time and random numbers are passed in as arguments.
package spread

import (
	"net/netip"
	"time"
)

const (
	// ReportLifetime is how long the report of a peer is used.
	ReportLifetime = 10 * time.Second
	// MaxPeers is the maximum number of peers whose reports are kept.
	MaxPeers = 64
	// tolerance is the relative difference of load below which a flow is kept.
	// It bounds the number of offloaded flows while the load is even.
	tolerance = 0.02
	// alwaysOffloadDifference is the relative difference of load at or above which a flow
	// is always offloaded. Between tolerance and alwaysOffloadDifference the choice is
	// random, so that agents with the same old report of one peer do not all offload to
	// that peer.
	alwaysOffloadDifference = 0.08
)

// Tracker holds the load of one agent and the load reports of its peers.
// It is not safe for concurrent use.
type Tracker struct {
	flows, slots Meter
	peers        map[netip.AddrPort]peerReport
}

type peerReport struct {
	Report
	received time.Time
}

// NewTracker returns the tracker of an agent that is idle at now.
func NewTracker(now time.Time) *Tracker {
	return &Tracker{flows: NewMeter(now), slots: NewMeter(now), peers: make(map[netip.AddrPort]peerReport)}
}

// SetFlows sets the occupied share of the agent's connections as of now.
func (t *Tracker) SetFlows(now time.Time, share float64) {
	t.flows.Set(now, share)
}

// SetSlots sets the occupied share of the backend server's slots as of now.
func (t *Tracker) SetSlots(now time.Time, share float64) {
	t.slots.Set(now, share)
}

// Report returns the load that the agent sends to its peers. The slots are computed
// from the open flows and the slots that each flow occupied lately, so that an agent
// whose flows were just opened does not look idle.
func (t *Tracker) Report(now time.Time) Report {
	report := Report{Flows: t.flows.current, Slots: t.slots.Value(now)}
	if mean := t.flows.Value(now); mean > 0 {
		report.Slots *= report.Flows / mean
	}
	return report
}

// RecordReport stores the report of a peer. If the reports of MaxPeers other peers are
// stored, the oldest report is dropped.
func (t *Tracker) RecordReport(now time.Time, from netip.AddrPort, report Report) {
	if _, known := t.peers[from]; !known && len(t.peers) >= MaxPeers {
		t.evictOldest()
	}
	t.peers[from] = peerReport{Report: report, received: now}
}

// ShouldOffload reports whether this agent should offload a new flow to the agent next;
// random is a random number in [0, 1). Without a recent report of next it returns
// false: flows are only offloaded to an agent that accepted a flow lately.
func (t *Tracker) ShouldOffload(now time.Time, next netip.AddrPort, random float64) bool {
	report, known := t.peers[next]
	if !known || now.Sub(report.received) > ReportLifetime || report.Flows >= fullFlowShare {
		return false
	}
	excess := loadDifference(t.Report(now), report.Report)
	return random < (excess-tolerance)/(alwaysOffloadDifference-tolerance)
}

func (t *Tracker) evictOldest() {
	var oldest netip.AddrPort
	for addr, report := range t.peers {
		if !oldest.IsValid() || report.received.Before(t.peers[oldest].received) {
			oldest = addr
		}
	}
	delete(t.peers, oldest)
}
