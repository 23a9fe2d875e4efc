// Package faults injects faults into a running deployment under load, one after
// another and in pairs, and checks after each that flows, requests and tickets were
// affected no more than the fault allows.
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

// Fault is a fault that can be injected.
type Fault struct {
	// Name identifies the fault in reports.
	Name string
	// Planned marks a change that operators make on purpose, which must not break any flow
	// or cut any request.
	Planned bool
	// Duration is the time between the injection of the fault and its cleanup.
	Duration time.Duration
	// inject starts the fault and registers its cleanup and checks with s.
	inject func(ctx context.Context, s *step) error
}

// step is the state of one fault, or of a pair of faults, from injection to cleanup.
// It is not safe for concurrent use.
type step struct {
	deployment *deploy.Deployment
	rng        *rand.Rand
	// inUse holds the balancers and agents that a fault of this step already acts on. The
	// entry of an agent covers its whole host.
	inUse map[*deploy.Process]bool
	// useCount counts how often each process was chosen during the run.
	useCount map[*deploy.Process]int
	// mayBreak holds the names of the agents and backend servers whose flows may
	// break and whose requests may be cut.
	mayBreak map[string]bool
	// newFlowsMayBreak allows flows to break before their first answer.
	newFlowsMayBreak bool
	cleanups         []func(context.Context) error
	checks           []func(context.Context) []string
}

func newStep(deployment *deploy.Deployment, rng *rand.Rand, useCount map[*deploy.Process]int) *step {
	return &step{deployment: deployment, rng: rng, useCount: useCount, inUse: make(map[*deploy.Process]bool), mayBreak: make(map[string]bool)}
}

// addCleanup adds a function that ends the fault. Cleanup functions run in reverse order.
func (s *step) addCleanup(f func(context.Context) error) { s.cleanups = append(s.cleanups, f) }

// addCheck adds a check that runs just before the cleanup. The check returns the problems
// found.
func (s *step) addCheck(f func(context.Context) []string) { s.checks = append(s.checks, f) }

// pickHost picks a running host on which no fault of the step acts. It picks at random
// among the hosts chosen least often so far, since a restarted host has few flows.
func (s *step) pickHost() (*deploy.Host, error) {
	var best *deploy.Host
	for _, i := range s.rng.Perm(len(s.deployment.Hosts)) {
		h := s.deployment.Hosts[i]
		if s.inUse[h.Agent] || !h.Agent.Running() || !h.Backend.Running() {
			continue
		}
		if best == nil || s.useCount[h.Agent] < s.useCount[best.Agent] {
			best = h
		}
	}
	if best == nil {
		return nil, errkind.New(errkind.Unavailable, "no host is left for another fault", "run fewer faults at a time")
	}
	s.markUsed(best.Agent)
	return best, nil
}

// pickBalancer picks a balancer by the rule of pickHost.
func (s *step) pickBalancer() (*deploy.BalancerHost, error) {
	var best *deploy.BalancerHost
	balancers := s.deployment.Balancers()
	for _, i := range s.rng.Perm(len(balancers)) {
		b := balancers[i]
		if s.inUse[b.Process] || !b.Running() {
			continue
		}
		if best == nil || s.useCount[b.Process] < s.useCount[best.Process] {
			best = b
		}
	}
	if best == nil {
		return nil, errkind.New(errkind.Unavailable, "no balancer is left for another fault", "run fewer faults at a time")
	}
	s.markUsed(best.Process)
	return best, nil
}

// markUsed records that a fault of the step acts on a process.
func (s *step) markUsed(p *deploy.Process) {
	s.inUse[p] = true
	s.useCount[p]++
}

// allowBreaks allows the flows of a host to break and its requests to be cut.
func (s *step) allowBreaks(h *deploy.Host) {
	s.mayBreak[h.Agent.Name] = true
	s.mayBreak[h.Backend.Name] = true
	s.newFlowsMayBreak = true
}

// inheritAllowed also allows the breaks that an earlier step allowed, since effects of the
// earlier faults may still appear.
func (s *step) inheritAllowed(earlier *step) {
	maps.Copy(s.mayBreak, earlier.mayBreak)
	s.newFlowsMayBreak = s.newFlowsMayBreak || earlier.newFlowsMayBreak
}

// cleanUp runs all cleanup functions and returns the first error.
func (s *step) cleanUp(ctx context.Context) error {
	var first error
	for i := len(s.cleanups) - 1; i >= 0; i-- {
		if err := s.cleanups[i](ctx); err != nil && first == nil {
			first = fmt.Errorf("ending the fault: %w", err)
		}
	}
	return first
}

// runChecks runs all checks and returns the problems found.
func (s *step) runChecks(ctx context.Context) []string {
	var problems []string
	for _, check := range s.checks {
		problems = append(problems, check(ctx)...)
	}
	return problems
}
