package faults

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/almondledge/almondledge/internal/lab/deploy"
	"github.com/almondledge/almondledge/internal/standin/backend"
)

const (
	// fabricDetectionTime is how long the fabric keeps spraying packets to a stopped
	// balancer.
	fabricDetectionTime = time.Second
	// freezeDuration is how long a process is frozen.
	freezeDuration = 4 * time.Second
	// killDuration is the time until a killed process is restarted, and the duration of
	// several other faults.
	killDuration = 4 * time.Second
	// stopTimeout bounds a graceful stop.
	stopTimeout = 60 * time.Second
	// drainGrace is the time after which a draining backend server must not get new
	// requests.
	drainGrace = 4 * time.Second
	// drainDuration is how long drained hosts are observed.
	drainDuration = 9 * time.Second
)

// processFaults returns the faults that act on balancers, agents, backend servers, hosts or
// a data centre.
func processFaults() []Fault {
	return []Fault{
		{Name: "balancer-kill", Duration: killDuration, inject: killBalancer},
		{Name: "balancer-freeze", Duration: freezeDuration, inject: freezeBalancer},
		{Name: "balancer-stop", Planned: true, Duration: time.Second, inject: stopBalancer},
		{Name: "balancer-join", Planned: true, Duration: killDuration, inject: joinBalancer},
		{Name: "agent-kill", Duration: killDuration, inject: killAgent},
		{Name: "agent-freeze", Duration: freezeDuration, inject: freezeAgent},
		{Name: "agent-stop", Planned: true, Duration: time.Second, inject: stopAgent},
		{Name: "backend-kill", Duration: killDuration, inject: killBackend},
		{Name: "backend-freeze", Duration: freezeDuration, inject: freezeBackend},
		{Name: "backend-stop", Planned: true, Duration: time.Second, inject: stopBackend},
		{Name: "host-kill", Duration: killDuration, inject: killHost},
		{Name: "data-centre-kill", Duration: killDuration, inject: killDataCentre},
		{Name: "backend-slow", Duration: killDuration, inject: setBackendKnobs(backend.Knobs{SlowMillis: 200})},
		{Name: "backend-shed", Duration: killDuration, inject: setBackendKnobs(backend.Knobs{ShedShare: 0.5})},
		{Name: "backend-false-load", Duration: killDuration, inject: setBackendKnobs(falseLoadKnobs())},
		{Name: "backend-cold", Duration: killDuration, inject: setBackendKnobs(backend.Knobs{ColdStartMillis: 600_000, ColdSlowMillis: 100})},
	}
}

// falseLoadKnobs makes a slow backend server report that it is idle.
func falseLoadKnobs() backend.Knobs {
	idle := 0.0
	return backend.Knobs{ReportLoad: &idle, SlowMillis: 50}
}

// sprayToRunning makes the fabric spray packets to the running balancers.
func sprayToRunning(ctx context.Context, s *step) error {
	var running []*deploy.BalancerHost
	for _, b := range s.deployment.Balancers() {
		if b.Running() {
			running = append(running, b)
		}
	}
	return s.deployment.SprayTo(ctx, running)
}

func killBalancer(ctx context.Context, s *step) error {
	b, err := s.pickBalancer()
	if err != nil {
		return err
	}
	s.addCleanup(func(ctx context.Context) error { return restartBalancer(ctx, s, b) })
	if err := b.Kill(); err != nil {
		return err
	}
	pause(ctx, fabricDetectionTime)
	return sprayToRunning(ctx, s)
}

func restartBalancer(ctx context.Context, s *step, b *deploy.BalancerHost) error {
	if err := s.deployment.Start(b.Process); err != nil {
		return err
	}
	return sprayToRunning(ctx, s)
}

func freezeBalancer(_ context.Context, s *step) error {
	b, err := s.pickBalancer()
	if err != nil {
		return err
	}
	s.addCleanup(func(context.Context) error { return deploy.Resume(b.Process) })
	return deploy.Freeze(b.Process)
}

func stopBalancer(ctx context.Context, s *step) error {
	b, err := s.pickBalancer()
	if err != nil {
		return err
	}
	s.addCleanup(func(ctx context.Context) error { return restartBalancer(ctx, s, b) })
	if err := b.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	pause(ctx, fabricDetectionTime)
	others := deploy.RunningExcept(s.deployment.Balancers(), b)
	if err := s.deployment.SprayTo(ctx, others); err != nil {
		return err
	}
	return waitStopped(ctx, b.Process)
}

func joinBalancer(ctx context.Context, s *step) error {
	_, err := s.deployment.AddBalancer(ctx)
	return err
}

func killAgent(_ context.Context, s *step) error {
	h, err := s.pickHost()
	if err != nil {
		return err
	}
	s.allowBreaks(h)
	s.addCleanup(func(ctx context.Context) error { return restartHost(ctx, s, h, h.Agent) })
	return h.Agent.Kill()
}

// restartHost starts processes of a host and waits until new flows reach the host.
func restartHost(ctx context.Context, s *step, h *deploy.Host, processes ...*deploy.Process) error {
	for _, p := range processes {
		if err := s.deployment.Start(p); err != nil {
			return err
		}
	}
	return s.deployment.WaitServing(ctx, []*deploy.Host{h})
}

func freezeAgent(_ context.Context, s *step) error {
	h, err := s.pickHost()
	if err != nil {
		return err
	}
	s.addCleanup(func(context.Context) error { return deploy.Resume(h.Agent) })
	return deploy.Freeze(h.Agent)
}

func stopAgent(ctx context.Context, s *step) error {
	h, err := s.pickHost()
	if err != nil {
		return err
	}
	s.addCleanup(func(ctx context.Context) error { return restartHost(ctx, s, h, h.Agent) })
	if err := h.Agent.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return waitStopped(ctx, h.Agent)
}

func killBackend(_ context.Context, s *step) error {
	h, err := s.pickHost()
	if err != nil {
		return err
	}
	s.allowBreaks(h)
	s.addCleanup(func(ctx context.Context) error { return restartHost(ctx, s, h, h.Backend) })
	return h.Backend.Kill()
}

func killHost(_ context.Context, s *step) error {
	h, err := s.pickHost()
	if err != nil {
		return err
	}
	s.allowBreaks(h)
	s.addCleanup(func(ctx context.Context) error { return restartHost(ctx, s, h, h.Backend, h.Agent) })
	if err := h.Agent.Kill(); err != nil {
		return err
	}
	return h.Backend.Kill()
}

// killDataCentre kills every balancer, agent and backend server of one data centre.
func killDataCentre(ctx context.Context, s *step) error {
	h, err := s.pickHost()
	if err != nil {
		return err
	}
	dataCentre := h.Agent.DataCentre
	var balancers []*deploy.BalancerHost
	var hosts []*deploy.Host
	for _, b := range s.deployment.Balancers() {
		if b.DataCentre == dataCentre && b.Running() && !s.inUse[b.Process] {
			s.markUsed(b.Process)
			balancers = append(balancers, b)
		}
	}
	for _, other := range s.deployment.Hosts {
		if other == h || (other.Agent.DataCentre == dataCentre && !s.inUse[other.Agent]) {
			s.inUse[other.Agent] = true
			hosts = append(hosts, other)
		}
	}
	s.addCleanup(func(ctx context.Context) error { return restartAll(ctx, s, balancers, hosts) })
	for _, b := range balancers {
		if err := b.Kill(); err != nil {
			return err
		}
	}
	for _, h := range hosts {
		s.allowBreaks(h)
		if err := errors.Join(h.Agent.Kill(), h.Backend.Kill()); err != nil {
			return err
		}
	}
	pause(ctx, fabricDetectionTime)
	return sprayToRunning(ctx, s)
}

// restartAll restarts balancers and hosts and waits until new flows reach the hosts.
func restartAll(ctx context.Context, s *step, balancers []*deploy.BalancerHost, hosts []*deploy.Host) error {
	for _, b := range balancers {
		if err := s.deployment.Start(b.Process); err != nil {
			return err
		}
	}
	for _, h := range hosts {
		if err := errors.Join(s.deployment.Start(h.Backend), s.deployment.Start(h.Agent)); err != nil {
			return err
		}
	}
	if err := sprayToRunning(ctx, s); err != nil {
		return err
	}
	return s.deployment.WaitServing(ctx, hosts)
}

func freezeBackend(_ context.Context, s *step) error {
	h, err := s.pickHost()
	if err != nil {
		return err
	}
	s.addCleanup(func(context.Context) error { return deploy.Resume(h.Backend) })
	return deploy.Freeze(h.Backend)
}

func stopBackend(ctx context.Context, s *step) error {
	h, err := s.pickHost()
	if err != nil {
		return err
	}
	s.addCleanup(func(ctx context.Context) error { return restartHost(ctx, s, h, h.Backend) })
	if err := h.Backend.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return waitStopped(ctx, h.Backend)
}

// setBackendKnobs returns a fault that sets the knobs of one backend server.
func setBackendKnobs(k backend.Knobs) func(context.Context, *step) error {
	return func(ctx context.Context, s *step) error {
		h, err := s.pickHost()
		if err != nil {
			return err
		}
		s.addCleanup(func(ctx context.Context) error { return s.deployment.SetBackendKnobs(ctx, h, backend.Knobs{}) })
		return s.deployment.SetBackendKnobs(ctx, h, k)
	}
}

// waitStopped waits for a graceful stop and returns an error unless the exit code is 0.
func waitStopped(ctx context.Context, p *deploy.Process) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	code, err := p.Wait(ctx)
	if err != nil {
		return err
	}
	if code != 0 {
		return fmt.Errorf("graceful stop of %s ended with exit code %d", p.Name, code)
	}
	return nil
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
