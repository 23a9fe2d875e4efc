package outage

import (
	"cmp"
	"math"
	"slices"
)

// Service is a group of backend servers whose capacity limits the requests after an outage.
type Service struct {
	Name string `json:"name"`
	// Slots is the number of requests that all backend servers together process in parallel.
	Slots float64 `json:"slots"`
	// WarmupMS is the time after the outage during which a request takes WarmupFactor times as
	// long.
	WarmupMS     float64 `json:"warmup_ms"`
	WarmupFactor float64 `json:"warmup_factor"`
}

// drainMS is the time after the outage that Schedule plays. Queues that last longer are cut off.
const drainMS = 20_000

// group is the requests of one kind that were sent in the same step and reach the system at the
// same time.
type group struct {
	kind *Kind
	// sentMS is when the requests were sent, count how many of them wait.
	sentMS, count float64
}

// Schedule returns the share of the full credit that callers earn in each of count windows if
// the waiting requests share the capacity of their services in the best order: requests that
// can still be answered within their target first, then the others by their limit. In contrast
// to Windows, requests wait for a slot. A kind of a service that is not listed does not wait.
func (in Input) Schedule(o Outage, count int) []float64 {
	first := math.Floor(o.StartMS/WindowMS) * WindowMS
	end := first + float64(count)*WindowMS
	earned, full := make([]float64, count), make([]float64, count)
	earn := func(sentMS, credit float64) {
		if i := int((sentMS - first) / WindowMS); i >= 0 && i < count {
			earned[i] += credit
		}
	}
	arrivals := map[string]map[int][]group{}
	for i := range in.Kinds {
		k := &in.Kinds[i]
		perStep := k.PerSecond * o.load() * stepMS / 1000
		limited := slices.ContainsFunc(in.Services, func(s Service) bool { return s.Name == k.Service })
		for at := first; at < end; at += stepMS {
			full[int((at-first)/WindowMS)] += perStep * k.Credit
			if !limited || at <= o.StartMS {
				earn(at, perStep*o.credit(*k, at))
				continue
			}
			if arrivals[k.Service] == nil {
				arrivals[k.Service] = map[int][]group{}
			}
			o.addArrivals(arrivals[k.Service], k, at, perStep)
		}
	}
	for _, s := range in.Services {
		s.play(o, arrivals[s.Name], earn)
	}
	shares := make([]float64, count)
	for i := range shares {
		shares[i] = earned[i] / full[i]
	}
	return shares
}

// addArrivals adds the requests that were sent in one step to the step at which they reach the
// system.
func (o Outage) addArrivals(arrivals map[int][]group, k *Kind, at, count float64) {
	onLostFlow := 0.0
	if k.TurnoverMS > 0 {
		onLostFlow = math.Exp(-(at - o.StartMS) / k.TurnoverMS)
	}
	if after, arrives := o.lostFlowDelay(*k, at); arrives && onLostFlow > 0 {
		step := int(at + after)
		arrivals[step] = append(arrivals[step], group{k, at, count * onLostFlow})
	}
	if after, arrives := o.newFlowDelay(at); arrives {
		step := int(at + after)
		arrivals[step] = append(arrivals[step], group{k, at, count * (1 - onLostFlow)})
	}
}

// play serves the requests of one service in the best order and reports their credit.
func (s Service) play(o Outage, arrivals map[int][]group, earn func(sentMS, credit float64)) {
	var waiting []group
	for now := math.Floor(o.RecoveryMS); now < o.RecoveryMS+drainMS; now += stepMS {
		factor := 1.0
		if now < o.RecoveryMS+s.WarmupMS {
			factor = s.WarmupFactor
		}
		waiting = append(waiting, arrivals[int(now)]...)
		waiting = slices.DeleteFunc(waiting, func(g group) bool {
			return g.kind.creditAfter(now-g.sentMS+g.kind.WorkMS*factor) == 0 // too late even if it begins now
		})
		slices.SortStableFunc(waiting, func(a, b group) int { return compareGroups(&a, &b, now, factor) })
		budget := s.Slots * stepMS / factor // milliseconds of work
		for i := range waiting {
			g := &waiting[i]
			served := min(g.count, budget/g.kind.WorkMS)
			g.count -= served
			budget -= served * g.kind.WorkMS
			earn(g.sentMS, served*g.kind.creditAfter(now-g.sentMS+g.kind.WorkMS*factor))
		}
		waiting = slices.DeleteFunc(waiting, func(g group) bool { return g.count <= 0 })
	}
}

// compareGroups orders the groups that can be answered within their target before the others, and
// otherwise by the time at which the target or the limit passes.
func compareGroups(a, b *group, now, factor float64) int {
	rank := func(g *group) (late int, passesMS float64) {
		if now-g.sentMS+g.kind.WorkMS*factor <= g.kind.TargetMS {
			return 0, g.sentMS + g.kind.TargetMS
		}
		return 1, g.sentMS + g.kind.LimitMS
	}
	lateA, passesA := rank(a)
	lateB, passesB := rank(b)
	if lateA != lateB {
		return lateA - lateB
	}
	return cmp.Compare(passesA, passesB)
}
