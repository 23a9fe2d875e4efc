package agent

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/almondledge/almondledge/internal/controlplane"
	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/service"
)

const (
	// maxLookupPause bounds the pause between two lookups of the service.
	maxLookupPause = 2 * time.Second
	// peerWaitTimeout is how long a stopping agent waits for a peer before it sends GOAWAY.
	peerWaitTimeout = 5 * time.Second
	// ledgerTimeout bounds the transfer of the ledger to peers.
	ledgerTimeout = 3 * time.Second
	// leaveGrace is how long a leaving agent waits for its last announcement to spread.
	leaveGrace = 500 * time.Millisecond
	// drainPollInterval is how often a draining agent checks for peers and relayed requests.
	drainPollInterval = 50 * time.Millisecond
)

// awaitService waits for the first announcement of the backend server and looks up its
// service, until ctx or drain ends.
func (a *Agent) awaitService(ctx, drain context.Context) (service.Spec, error) {
	select {
	case <-a.registry.First():
	case <-ctx.Done():
		return service.Spec{}, nil
	case <-drain.Done():
		return service.Spec{}, nil
	}
	last, _ := a.registry.Last(time.Now())
	a.log.WithField("service", last.Service).WithField("port", last.Port).Info("backend server announced")
	lookUp := func() (service.Spec, error) {
		spec, err := controlplane.LookUp(ctx, a.dialer.DialSync, a.firstContacts(), last.Service)
		if err != nil {
			a.log.WithField("kind", string(errkind.Of(err))).WithError(err).Warn("service lookup failed; retrying")
		}
		return spec, err
	}
	pause := backoff.NewExponentialBackOff()
	pause.MaxInterval = maxLookupPause
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(drain, cancel)
	defer stop()
	return backoff.Retry(ctx, lookUp, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(0))
}

// maintainState updates the announced state when the agent's condition changes.
func (a *Agent) maintainState(ctx context.Context) error {
	ticker := time.NewTicker(lifecyclePeriod)
	defer ticker.Stop()
	since := time.Now()
	previous := member.State(0)
	for {
		now := time.Now()
		state := stateFor(now, a.condition(now, since))
		if state != previous {
			a.applyState(previous, state)
			if previous == member.Draining {
				since = now // the backend server warms up again
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
	last, announcing := a.registry.Last(now)
	return condition{
		stopping:   a.stopping.Load(),
		drained:    a.drained.Load() || spec.Drains(a.settings.Address),
		removed:    a.removed.Load() || !spec.Admits(a.settings.Address, a.settings.DataCentre),
		announcing: announcing,
		announced:  last.State,
		since:      since,
	}
}

// applyState applies a new state to this agent before it announces the state to other
// processes.
func (a *Agent) applyState(previous, state member.State) {
	a.serving.Store(state.TakesNewFlows())
	a.draining.Store(state == member.Draining)
	a.driver.SetState(state)
	a.log.WithField("from", previous.String()).WithField("to", state.String()).Info("state changed")
}

// stopWhenDrained drains the agent once drain ends. It returns when the drain is
// complete or has timed out, or when ctx ends.
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
	a.transferLedger(ctx)
	a.driver.SetState(member.Leaving)
	pause(ctx, leaveGrace)
	a.log.Info("agent left")
}

// awaitPeer waits until a peer can serve the callers that reconnect after GOAWAY.
func (a *Agent) awaitPeer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerWaitTimeout)
	defer cancel()
	for len(a.driver.Peers()) == 0 && ctx.Err() == nil {
		pause(ctx, drainPollInterval)
	}
	if len(a.driver.Peers()) == 0 {
		a.log.Warn("no peer is ready; requests under way still end here")
	}
}

// transferLedger transfers the ledger of idempotency keys to peers.
func (a *Agent) transferLedger(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	peers, err := a.gateway.TransferLedger(ctx)
	if err != nil {
		a.log.WithError(err).Warn("ledger not transferred")
		return
	}
	a.log.WithField("peers", peers).Info("ledger transferred")
}

// awaitRelayed waits until the requests that peers relayed to this agent have ended.
func (a *Agent) awaitRelayed(ctx context.Context) {
	for a.gateway.InFlight() > 0 && ctx.Err() == nil {
		pause(ctx, drainPollInterval)
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
