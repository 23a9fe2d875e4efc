// Package outage computes an upper bound on the credit that callers can earn when all
// machines are lost for some time. The bound assumes balancers with complete state from
// their first moment and backend servers without delays. The gap between the credit that
// callers earn and the bound is due to the system; the gap between the bound and the full
// credit is due to the outage and the callers' timers.
package outage

import (
	"math"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/flow"
)

// Kind describes a kind of request.
type Kind struct {
	Name string `json:"name"`
	// Service names the service whose capacity the requests use. Empty means unlimited capacity.
	Service string `json:"service"`
	// PerSecond is the rate of requests per second.
	PerSecond float64 `json:"per_second"`
	// Credit is what a request earns if it is answered within TargetMS, and LateCredit what
	// it earns if it is answered later but within LimitMS.
	Credit     float64 `json:"worth"`
	LateCredit float64 `json:"late_worth"`
	// TargetMS and LimitMS are measured from the first attempt, in milliseconds.
	TargetMS float64 `json:"aim_ms"`
	LimitMS  float64 `json:"limit_ms"`
	// WorkMS is the mean processing time at a backend server, in milliseconds.
	WorkMS float64 `json:"work_ms"`
	// Idempotent requests are repeated on a new flow when their flow is reset.
	Idempotent bool `json:"idempotent"`
	// TurnoverMS is the mean time between two requests on one flow, in milliseconds;
	// zero means that each request opens a flow.
	TurnoverMS float64 `json:"turnover_ms"`
}

// Outage is a period in which no machine runs, in milliseconds from the start of a day. All
// flows opened before the outage are lost.
type Outage struct {
	Name    string  `json:"name"`
	StartMS float64 `json:"lost_ms"`
	// RecoveryMS is the time when the first balancer accepts packets again.
	RecoveryMS float64 `json:"back_ms"`
	// Load scales the rates of all kinds on this day. Zero means one.
	Load float64 `json:"load"`
}

// load returns the factor of the rates.
func (o Outage) load() float64 {
	if o.Load == 0 {
		return 1
	}
	return o.Load
}

// Input holds the kinds of request and the outages to compute bounds for.
type Input struct {
	Kinds    []Kind    `json:"kinds"`
	Services []Service `json:"services"`
	Outages  []Outage  `json:"outages"`
}

// retransmitDelays are the times after the start of a request at which its packet is sent, in
// milliseconds.
var retransmitDelays = []float64{0, 200, 600, 1400, 3000}

const (
	// openRetries is the number of attempts to open a flow after the first attempt.
	openRetries = 2
	// WindowMS is the length of a window, and stepMS the integration step within a window.
	WindowMS = 2000
	stepMS   = 1
)

// Check returns an error that names the first invalid kind or outage, or nil.
func (in Input) Check() error {
	for _, k := range in.Kinds {
		if k.PerSecond <= 0 || k.Credit <= 0 || k.TargetMS <= 0 || k.LimitMS < k.TargetMS || k.TurnoverMS < 0 {
			return errkind.New(errkind.Invalid, "kind "+k.Name+" has a rate, worth or time that is missing or out of order", "correct the file")
		}
	}
	for _, o := range in.Outages {
		if o.RecoveryMS <= o.StartMS {
			return errkind.New(errkind.Invalid, "outage "+o.Name+" ends before it begins", "correct the file")
		}
	}
	for _, s := range in.Services {
		if s.Slots <= 0 || s.WarmupMS < 0 || (s.WarmupMS > 0 && s.WarmupFactor < 1) {
			return errkind.New(errkind.Invalid, "service "+s.Name+" has no slots, or a warm-up that is not slower", "correct the file")
		}
	}
	if len(in.Kinds) == 0 || len(in.Outages) == 0 {
		return errkind.New(errkind.Invalid, "no kinds or no outages", "name at least one of each")
	}
	return nil
}

// Windows returns the largest share of the full credit that can be earned in each of
// count windows. The first window contains the start of the outage.
func (o Outage) Windows(kinds []Kind, count int) []float64 {
	first := math.Floor(o.StartMS/WindowMS) * WindowMS
	windows := make([]float64, count)
	for i := range windows {
		windows[i] = o.windowShare(kinds, first+float64(i)*WindowMS)
	}
	return windows
}

// windowShare returns the share of the full credit that can be earned in the window that
// starts at begin.
func (o Outage) windowShare(kinds []Kind, begin float64) float64 {
	var earned, fullCredit float64
	for _, k := range kinds {
		for at := begin; at < begin+WindowMS; at += stepMS {
			earned += k.PerSecond * o.credit(k, at)
			fullCredit += k.PerSecond * k.Credit
		}
	}
	return earned / fullCredit
}

// credit returns the expected credit of a request sent at the time at.
func (o Outage) credit(k Kind, at float64) float64 {
	switch {
	case at+k.WorkMS <= o.StartMS:
		return k.Credit
	case at <= o.StartMS:
		return 0 // in progress when its backend server was lost; the caller does not resend it
	case k.TurnoverMS == 0:
		return o.newFlowCredit(k, at)
	}
	onLostFlow := math.Exp(-(at - o.StartMS) / k.TurnoverMS)
	return onLostFlow*o.lostFlowCredit(k, at) + (1-onLostFlow)*o.newFlowCredit(k, at)
}

// lostFlowCredit returns the credit of a request on a flow that the outage ended. A
// balancer answers the first packet that reaches it with a reset.
func (o Outage) lostFlowCredit(k Kind, at float64) float64 {
	after, arrives := o.lostFlowDelay(k, at)
	if !arrives {
		return 0
	}
	return k.creditAfter(after + k.WorkMS)
}

// lostFlowDelay returns how long after a request on a lost flow a balancer receives it and resets
// the flow, or false if the caller does not repeat it.
func (o Outage) lostFlowDelay(k Kind, at float64) (afterMS float64, arrives bool) {
	if !k.Idempotent {
		return 0, false
	}
	for _, after := range retransmitDelays {
		if at+after >= o.RecoveryMS {
			return after, true
		}
	}
	return 0, false
}

// newFlowCredit returns the credit of a request that opens a flow.
func (o Outage) newFlowCredit(k Kind, at float64) float64 {
	after, arrives := o.newFlowDelay(at)
	if !arrives {
		return 0
	}
	return k.creditAfter(after + k.WorkMS)
}

// newFlowDelay returns how long after a request that opens a flow a balancer receives one of its
// opening packets, or false if it receives none.
func (o Outage) newFlowDelay(at float64) (afterMS float64, arrives bool) {
	for attempt := range 1 + openRetries {
		for number := range uint32(flow.OpeningPackets) {
			after := milliseconds(time.Duration(attempt)*flow.OpeningTimeout + flow.CopyDelay(number))
			if at+after >= o.RecoveryMS {
				return after, true
			}
		}
	}
	return 0, false
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// creditAfter returns the credit of an answer that arrives the given number of
// milliseconds after the first attempt.
func (k Kind) creditAfter(after float64) float64 {
	switch {
	case after <= k.TargetMS:
		return k.Credit
	case after <= k.LimitMS:
		return k.LateCredit
	default:
		return 0
	}
}
