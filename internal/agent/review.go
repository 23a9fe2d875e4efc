package agent

import (
	"context"
	"net/netip"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/almondledge/almondledge/internal/controlplane"
	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/roster"
	"github.com/almondledge/almondledge/internal/service"
)

const (
	// rosterTimeout bounds the one read of the roster.
	rosterTimeout = 2 * time.Second
	// lookupPause bounds the pause between two lookups of the service.
	lookupPause = 2 * time.Second
	// peerGrace is how long a stopping agent waits for a peer before it sends GOAWAY.
	peerGrace = 5 * time.Second
	// handOverTimeout bounds handing the ledger to peers.
	handOverTimeout = 3 * time.Second
	// leaveGrace is how long a leaving agent lets its last statement travel.
	leaveGrace = 500 * time.Millisecond
	// drainPoll is how often a draining agent looks whether its flows have ended.
	drainPoll = 50 * time.Millisecond
)

// awaitService waits for the backend server's announcement and finds its service.
func (a *Agent) awaitService(ctx, drain context.Context) (service.Spec, error) {
	select {
	case <-a.registry.First():
	case <-ctx.Done():
		return service.Spec{}, nil
	case <-drain.Done():
		return service.Spec{}, nil
	}
	a.contacts = a.firstContacts(ctx)
	last, _ := a.registry.Last(time.Now())
	a.log.WithField("service", last.Service).WithField("port", last.Port).Info("backend server announced")
	lookUp := func() (service.Spec, error) {
		spec, err := controlplane.LookUp(ctx, a.dialer.DialSync, a.contacts, last.Service)
		if err != nil {
			a.log.WithField("kind", string(errkind.Of(err))).WithError(err).Warn("service not found yet")
		}
		return spec, err
	}
	pause := backoff.NewExponentialBackOff()
	pause.MaxInterval = lookupPause
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(drain, cancel)
	defer stop()
	return backoff.Retry(ctx, lookUp, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(0))
}

// firstContacts returns the balancers of the settings and of the roster.
func (a *Agent) firstContacts(ctx context.Context) []netip.AddrPort {
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	contacts, err := roster.Contacts(ctx, a.store, a.settings.DataCentre, a.settings.Peers)
	if err != nil {
		a.log.WithError(err).Warn("roster not read; the peers of the settings are used")
	}
	return contacts
}

// review keeps the announced state in step with the agent's condition.
func (a *Agent) review(ctx context.Context) error {
	ticker := time.NewTicker(lifecyclePeriod)
	defer ticker.Stop()
	since := time.Now()
	previous := member.State(0)
	for {
		now := time.Now()
		state := stateFor(now, a.condition(now, since))
		if state != previous {
			a.enter(previous, state)
			if previous == member.Draining {
				since = now // cold again
				state = stateFor(now, a.condition(now, since))
			}
			previous = state
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (a *Agent) condition(now, since time.Time) condition {
	spec := a.spec.Load()
	last, heard := a.registry.Last(now)
	return condition{
		stopping:  a.stopping.Load(),
		drained:   a.drained.Load() || spec.Drains(a.settings.Address),
		removed:   a.removed.Load() || !spec.Admits(a.settings.Address, a.settings.DataCentre),
		heard:     heard,
		announced: last.State,
		since:     since,
	}
}

// enter puts a new state in force: first at this agent, then at its observers.
func (a *Agent) enter(previous, state member.State) {
	a.serving.Store(state.TakesNewFlows())
	a.draining.Store(state == member.Draining)
	a.driver.SetState(state)
	a.log.WithField("from", previous.String()).WithField("to", state.String()).Info("state changed")
}

// stopWhenDrained returns when ctx ends, or when drain has ended and every flow after it.
func (a *Agent) stopWhenDrained(ctx, drain context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-drain.Done():
	}
	a.log.WithField("flows", a.endpoint.flows.Load()).Info("draining")
	a.stopping.Store(true)
	a.serving.Store(false)
	a.driver.SetState(member.Draining)
	a.gateway.Drain()
	bounded, cancel := context.WithTimeout(ctx, a.settings.DrainTimeout())
	defer cancel()
	a.awaitPeer(bounded)
	if err := a.endpoint.drain(bounded); err != nil {
		a.log.WithField("flows", a.endpoint.flows.Load()).WithError(err).Warn("drain timeout: flows were cut")
	}
	a.awaitRelayed(bounded)
	a.handOver(ctx)
	a.driver.SetState(member.Leaving)
	pause(ctx, leaveGrace)
	a.log.Info("agent left")
}

// awaitPeer waits until a peer can take the callers that GOAWAY sends away.
func (a *Agent) awaitPeer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerGrace)
	defer cancel()
	for len(a.driver.Peers()) == 0 && ctx.Err() == nil {
		pause(ctx, drainPoll)
	}
	if len(a.driver.Peers()) == 0 {
		a.log.Warn("no peer is ready; requests under way still end here")
	}
}

// handOver gives the ledger of idempotency keys to peers.
func (a *Agent) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	taken, err := a.gateway.TransferLedger(ctx)
	if err != nil {
		a.log.WithError(err).Warn("ledger not handed over")
		return
	}
	a.log.WithField("peers", taken).Info("ledger handed over")
}

// awaitRelayed waits for the requests that peers relayed to this agent.
func (a *Agent) awaitRelayed(ctx context.Context) {
	for a.gateway.InFlight() > 0 && ctx.Err() == nil {
		pause(ctx, drainPoll)
	}
}

func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
