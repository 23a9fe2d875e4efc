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
	// fabricNotice is how long the fabric goes on spraying to a dead balancer.
	fabricNotice = time.Second
	// freezeTime is how long processes are frozen.
	freezeTime = 4 * time.Second
	// killHold is how long a killed process stays away.
	killHold = 4 * time.Second
	// stopTimeout bounds a graceful stop.
	stopTimeout = 60 * time.Second
	// newWorkLimit is the time after which a leaving backend server must get no new work.
	newWorkLimit = 4 * time.Second
	// drainHold is how long drained hosts are watched.
	drainHold = 9 * time.Second
)

// processFaults are the faults of single processes.
func processFaults() []Fault {
	return []Fault{
		{Name: "balancer-kill", Duration: killHold, begin: killBalancer},
		{Name: "balancer-freeze", Duration: freezeTime, begin: freezeBalancer},
		{Name: "balancer-stop", Planned: true, Duration: time.Second, begin: stopBalancer},
		{Name: "balancer-join", Planned: true, Duration: killHold, begin: joinBalancer},
		{Name: "agent-kill", Duration: killHold, begin: killAgent},
		{Name: "agent-freeze", Duration: freezeTime, begin: freezeAgent},
		{Name: "agent-stop", Planned: true, Duration: time.Second, begin: stopAgent},
		{Name: "backend-kill", Duration: killHold, begin: killBackend},
		{Name: "backend-freeze", Duration: freezeTime, begin: freezeBackend},
		{Name: "backend-stop", Planned: true, Duration: time.Second, begin: stopBackend},
		{Name: "host-kill", Duration: killHold, begin: killHost},
		{Name: "data-centre-kill", Duration: killHold, begin: killDataCentre},
		{Name: "backend-slow", Duration: killHold, begin: backendKnobs(backend.Knobs{SlowMillis: 200})},
		{Name: "backend-shed", Duration: killHold, begin: backendKnobs(backend.Knobs{ShedShare: 0.5})},
		{Name: "backend-false-load", Duration: killHold, begin: backendKnobs(falseLoad())},
		{Name: "backend-cold", Duration: killHold, begin: backendKnobs(backend.Knobs{ColdStartMillis: 600_000, ColdSlowMillis: 100})},
	}
}

func falseLoad() backend.Knobs {
	idle := 0.0
	return backend.Knobs{ReportLoad: &idle, SlowMillis: 50}
}

// sprayToRunning makes the fabric follow the balancers that run.
func sprayToRunning(ctx context.Context, s *scene) error {
	var running []*deploy.BalancerHost
	for _, b := range s.d.Balancers() {
		if b.Running() {
			running = append(running, b)
		}
	}
	return s.d.SprayTo(ctx, running)
}

func killBalancer(ctx context.Context, s *scene) error {
	b, err := s.balancer()
	if err != nil {
		return err
	}
	s.atEnd(func(ctx context.Context) error { return restartBalancer(ctx, s, b) })
	if err := b.Kill(); err != nil {
		return err
	}
	pause(ctx, fabricNotice)
	return sprayToRunning(ctx, s)
}

func restartBalancer(ctx context.Context, s *scene, b *deploy.BalancerHost) error {
	if err := s.d.Start(b.Process); err != nil {
		return err
	}
	return sprayToRunning(ctx, s)
}

func freezeBalancer(_ context.Context, s *scene) error {
	b, err := s.balancer()
	if err != nil {
		return err
	}
	s.atEnd(func(context.Context) error { return deploy.Resume(b.Process) })
	return deploy.Freeze(b.Process)
}

func stopBalancer(ctx context.Context, s *scene) error {
	b, err := s.balancer()
	if err != nil {
		return err
	}
	s.atEnd(func(ctx context.Context) error { return restartBalancer(ctx, s, b) })
	if err := b.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	pause(ctx, fabricNotice)
	others := deploy.RunningExcept(s.d.Balancers(), b)
	if err := s.d.SprayTo(ctx, others); err != nil {
		return err
	}
	return waitStopped(ctx, b.Process)
}

func joinBalancer(ctx context.Context, s *scene) error {
	_, err := s.d.AddBalancer(ctx)
	return err
}

func killAgent(_ context.Context, s *scene) error {
	h, err := s.host()
	if err != nil {
		return err
	}
	s.allow(h)
	s.atEnd(func(ctx context.Context) error { return restart(ctx, s, h, h.Agent) })
	return h.Agent.Kill()
}

// restart starts a process of a host and waits until new flows reach the host.
func restart(ctx context.Context, s *scene, h *deploy.Host, processes ...*deploy.Process) error {
	for _, p := range processes {
		if err := s.d.Start(p); err != nil {
			return err
		}
	}
	return s.d.WaitServing(ctx, []*deploy.Host{h})
}

func freezeAgent(_ context.Context, s *scene) error {
	h, err := s.host()
	if err != nil {
		return err
	}
	s.atEnd(func(context.Context) error { return deploy.Resume(h.Agent) })
	return deploy.Freeze(h.Agent)
}

func stopAgent(ctx context.Context, s *scene) error {
	h, err := s.host()
	if err != nil {
		return err
	}
	s.atEnd(func(ctx context.Context) error { return restart(ctx, s, h, h.Agent) })
	if err := h.Agent.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return waitStopped(ctx, h.Agent)
}

func killBackend(_ context.Context, s *scene) error {
	h, err := s.host()
	if err != nil {
		return err
	}
	s.allow(h)
	s.atEnd(func(ctx context.Context) error { return restart(ctx, s, h, h.Backend) })
	return h.Backend.Kill()
}

func killHost(_ context.Context, s *scene) error {
	h, err := s.host()
	if err != nil {
		return err
	}
	s.allow(h)
	s.atEnd(func(ctx context.Context) error { return restart(ctx, s, h, h.Backend, h.Agent) })
	if err := h.Agent.Kill(); err != nil {
		return err
	}
	return h.Backend.Kill()
}

// killDataCentre kills every balancer, agent and backend server of one data centre.
func killDataCentre(ctx context.Context, s *scene) error {
	h, err := s.host()
	if err != nil {
		return err
	}
	dataCentre := h.Agent.DataCentre
	var balancers []*deploy.BalancerHost
	var hosts []*deploy.Host
	for _, b := range s.d.Balancers() {
		if b.DataCentre == dataCentre && b.Running() && !s.taken[b.Process] {
			s.take(b.Process)
			balancers = append(balancers, b)
		}
	}
	for _, other := range s.d.Hosts {
		if other == h || (other.Agent.DataCentre == dataCentre && !s.taken[other.Agent]) {
			s.taken[other.Agent] = true
			hosts = append(hosts, other)
		}
	}
	s.atEnd(func(ctx context.Context) error { return restartAll(ctx, s, balancers, hosts) })
	for _, b := range balancers {
		if err := b.Kill(); err != nil {
			return err
		}
	}
	for _, h := range hosts {
		s.allow(h)
		if err := errors.Join(h.Agent.Kill(), h.Backend.Kill()); err != nil {
			return err
		}
	}
	pause(ctx, fabricNotice)
	return sprayToRunning(ctx, s)
}

func restartAll(ctx context.Context, s *scene, balancers []*deploy.BalancerHost, hosts []*deploy.Host) error {
	for _, b := range balancers {
		if err := s.d.Start(b.Process); err != nil {
			return err
		}
	}
	for _, h := range hosts {
		if err := errors.Join(s.d.Start(h.Backend), s.d.Start(h.Agent)); err != nil {
			return err
		}
	}
	if err := sprayToRunning(ctx, s); err != nil {
		return err
	}
	return s.d.WaitServing(ctx, hosts)
}

func freezeBackend(_ context.Context, s *scene) error {
	h, err := s.host()
	if err != nil {
		return err
	}
	s.atEnd(func(context.Context) error { return deploy.Resume(h.Backend) })
	return deploy.Freeze(h.Backend)
}

func stopBackend(ctx context.Context, s *scene) error {
	h, err := s.host()
	if err != nil {
		return err
	}
	s.atEnd(func(ctx context.Context) error { return restart(ctx, s, h, h.Backend) })
	if err := h.Backend.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return waitStopped(ctx, h.Backend)
}

func backendKnobs(k backend.Knobs) func(context.Context, *scene) error {
	return func(ctx context.Context, s *scene) error {
		h, err := s.host()
		if err != nil {
			return err
		}
		s.atEnd(func(ctx context.Context) error { return s.d.SetBackendKnobs(ctx, h, backend.Knobs{}) })
		return s.d.SetBackendKnobs(ctx, h, k)
	}
}

// waitStopped waits for a graceful stop, which must end with exit code 0.
func waitStopped(ctx context.Context, p *deploy.Process) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	code, err := p.Wait(ctx)
	if err != nil {
		return err
	}
	if code != 0 {
		return fmt.Errorf("%s ended its graceful stop with exit code %d", p.Name, code)
	}
	return nil
}

// pause waits, or returns early when ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
