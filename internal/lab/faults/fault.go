// Package faults brings about faults in a running deployment while load runs,
// one after another and in pairs, and judges after each whether the promises of
// the brief held.
package faults

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/lab/deploy"
)

// Fault is one fault that can be brought about.
type Fault struct {
	// Name names the fault in reports.
	Name string
	// Planned marks a change that operators make on purpose: it may break no
	// flow and cut no request anywhere.
	Planned bool
	// Duration is the time between its beginning and its end.
	Duration time.Duration
	// begin brings it about.
	begin func(ctx context.Context, s *scene) error
}

// scene is what one fault, or a pair, acts on. It is used by one goroutine.
type scene struct {
	d   *deploy.Deployment
	rng *rand.Rand
	// taken holds the processes that a fault of this scene acts on already.
	taken map[*deploy.Process]bool
	// used counts how often each process was chosen in the run.
	used map[*deploy.Process]int
	// mayBreak names the agents and backend servers whose own flows may break
	// and whose own requests may be cut.
	mayBreak map[string]bool
	// newFlowsMayBreak allows breaks of flows that had no answer yet.
	newFlowsMayBreak bool
	ends             []func(context.Context) error
	checks           []func(context.Context) []string
}

func newScene(d *deploy.Deployment, rng *rand.Rand, used map[*deploy.Process]int) *scene {
	return &scene{d: d, rng: rng, used: used, taken: make(map[*deploy.Process]bool), mayBreak: make(map[string]bool)}
}

// atEnd adds a step that ends the fault. Steps run in reverse order.
func (s *scene) atEnd(f func(context.Context) error) { s.ends = append(s.ends, f) }

// check adds a check that runs at the end of the hold. It returns what is wrong.
func (s *scene) check(f func(context.Context) []string) { s.checks = append(s.checks, f) }

// host picks a host that no fault of the scene acts on, among those chosen least
// often so far: a host that was restarted holds few flows.
func (s *scene) host() (*deploy.Host, error) {
	var best *deploy.Host
	for _, i := range s.rng.Perm(len(s.d.Hosts)) {
		h := s.d.Hosts[i]
		if s.taken[h.Agent] || !h.Agent.Running() || !h.Backend.Running() {
			continue
		}
		if best == nil || s.used[h.Agent] < s.used[best.Agent] {
			best = h
		}
	}
	if best == nil {
		return nil, errkind.New(errkind.Unavailable, "no host is left for another fault", "run fewer faults at a time")
	}
	s.take(best.Agent)
	return best, nil
}

// balancer picks a balancer in the same way.
func (s *scene) balancer() (*deploy.BalancerHost, error) {
	var best *deploy.BalancerHost
	balancers := s.d.Balancers()
	for _, i := range s.rng.Perm(len(balancers)) {
		b := balancers[i]
		if s.taken[b.Process] || !b.Running() {
			continue
		}
		if best == nil || s.used[b.Process] < s.used[best.Process] {
			best = b
		}
	}
	if best == nil {
		return nil, errkind.New(errkind.Unavailable, "no balancer is left for another fault", "run fewer faults at a time")
	}
	s.take(best.Process)
	return best, nil
}

func (s *scene) take(p *deploy.Process) {
	s.taken[p] = true
	s.used[p]++
}

// allow lets the flows of a host break and its requests be cut.
func (s *scene) allow(h *deploy.Host) {
	s.mayBreak[h.Agent.Name] = true
	s.mayBreak[h.Backend.Name] = true
	s.newFlowsMayBreak = true
}

// inherit allows what an earlier scene allowed, since its consequences may
// still show.
func (s *scene) inherit(earlier *scene) {
	maps.Copy(s.mayBreak, earlier.mayBreak)
	s.newFlowsMayBreak = s.newFlowsMayBreak || earlier.newFlowsMayBreak
}

// end runs the steps that end the faults of the scene.
func (s *scene) end(ctx context.Context) error {
	var first error
	for i := len(s.ends) - 1; i >= 0; i-- {
		if err := s.ends[i](ctx); err != nil && first == nil {
			first = fmt.Errorf("ending the fault: %w", err)
		}
	}
	return first
}

func (s *scene) runChecks(ctx context.Context) []string {
	var wrong []string
	for _, check := range s.checks {
		wrong = append(wrong, check(ctx)...)
	}
	return wrong
}
