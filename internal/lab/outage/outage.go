// Package outage works out what callers can get at best when all machines are lost
// for some time: with balancers that know everything from their first moment, and
// backend servers that nothing holds up. What a trace shows above that bound is due
// to the system, what lies below it to the outage and to the callers' own clocks.
package outage

import (
	"math"

	"github.com/almondledge/almondledge/internal/errkind"
)

// Kind is a kind of request.
type Kind struct {
	Name string `json:"name"`
	// PerSecond is the rate of requests.
	PerSecond float64 `json:"per_second"`
	// Credit is the credit of a request answered within Aim, and LateWorth of one
	// answered within Limit.
	Credit     float64 `json:"worth"`
	LateCredit float64 `json:"late_worth"`
	// TargetMS and LimitMS count from the first attempt, in milliseconds.
	TargetMS float64 `json:"aim_ms"`
	LimitMS  float64 `json:"limit_ms"`
	// WorkMS is the mean time of a request at a backend server, in milliseconds.
	WorkMS float64 `json:"work_ms"`
	// Idempotent requests are repeated on a new flow when theirs is reset.
	Idempotent bool `json:"idempotent"`
	// TurnoverMS is the mean time between two requests on one flow, in milliseconds;
	// zero means that each request opens a flow.
	TurnoverMS float64 `json:"turnover_ms"`
}

// Outage is a time without any machine, in milliseconds from the start of a day. The
// flows of before are lost.
type Outage struct {
	Name    string  `json:"name"`
	StartMS float64 `json:"lost_ms"`
	// RecoveryMS is when the first balancer takes packets.
	RecoveryMS float64 `json:"back_ms"`
}

// Input is what Bound works on.
type Input struct {
	Kinds   []Kind   `json:"kinds"`
	Outages []Outage `json:"outages"`
}

// Clocks of callers, in milliseconds (the users' PROTOCOL.md, Flows).
var (
	// resends are the times after a request at which its packet is sent.
	resends = []float64{0, 200, 600, 1400, 3000}
	// openings are the times of the copies of an opening packet.
	openings = []float64{0, 200, 600}
)

const (
	// attemptMS is when a caller gives up an attempt to open a flow.
	attemptMS = 1400
	// retries is the number of further attempts.
	retries = 2
	// WindowMS is the length of a window, and stepMS that of one step through it.
	WindowMS = 2000
	stepMS   = 1
)

// Check returns an error that names the first field that cannot be used.
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
	if len(in.Kinds) == 0 || len(in.Outages) == 0 {
		return errkind.New(errkind.Invalid, "no kinds or no outages", "name at least one of each")
	}
	return nil
}

// Windows returns the share of the credit owed that can be earned at best in count
// windows, the first of which holds the loss.
func (o Outage) Windows(kinds []Kind, count int) []float64 {
	first := math.Floor(o.StartMS/WindowMS) * WindowMS
	windows := make([]float64, count)
	for i := range windows {
		windows[i] = o.window(kinds, first+float64(i)*WindowMS)
	}
	return windows
}

func (o Outage) window(kinds []Kind, begin float64) float64 {
	var earned, owed float64
	for _, k := range kinds {
		for at := begin; at < begin+WindowMS; at += stepMS {
			earned += k.PerSecond * o.credit(k, at)
			owed += k.PerSecond * k.Credit
		}
	}
	return earned / owed
}

// credit returns what a request sent at a moment earns on average.
func (o Outage) credit(k Kind, at float64) float64 {
	switch {
	case at+k.WorkMS <= o.StartMS:
		return k.Credit
	case at <= o.StartMS:
		return 0 // at work when its backend server was lost; nothing resends it
	case k.TurnoverMS == 0:
		return o.fresh(k, at)
	}
	onLostFlow := math.Exp(-(at - o.StartMS) / k.TurnoverMS)
	return onLostFlow*o.lost(k, at) + (1-onLostFlow)*o.fresh(k, at)
}

// lost is the credit of a request on a flow that the outage has ended: the first
// packet that reaches a balancer is answered with a reset.
func (o Outage) lost(k Kind, at float64) float64 {
	if !k.Idempotent {
		return 0
	}
	for _, after := range resends {
		if at+after >= o.RecoveryMS {
			return k.value(after + k.WorkMS)
		}
	}
	return 0
}

// fresh is the credit of a request that opens a flow.
func (o Outage) fresh(k Kind, at float64) float64 {
	for attempt := range 1 + retries {
		for _, copied := range openings {
			after := float64(attempt)*attemptMS + copied
			if at+after >= o.RecoveryMS {
				return k.value(after + k.WorkMS)
			}
		}
	}
	return 0
}

// value is the credit of an answer so many milliseconds after the first attempt.
func (k Kind) value(after float64) float64 {
	switch {
	case after <= k.TargetMS:
		return k.Credit
	case after <= k.LimitMS:
		return k.LateCredit
	default:
		return 0
	}
}
