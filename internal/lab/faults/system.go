package faults

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/lab/deploy"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/standin/fabric"
	"github.com/almondledge/almondledge/internal/standin/platform"
)

const (
	storeFaultDuration  = 8 * time.Second
	fabricFaultDuration = 5 * time.Second
	// keyDistributionTime is the time that processes get to load a new key before the key
	// is used.
	keyDistributionTime = 2 * time.Second
)

// systemFaults returns the faults that submit tickets, rotate the packet key, or act on the
// fabric or the store.
func systemFaults() []Fault {
	return []Fault{
		{Name: "ticket-drain", Planned: true, Duration: drainDuration, inject: drainByTicket(1)},
		{Name: "ticket-drain-two", Planned: true, Duration: drainDuration, inject: drainByTicket(2)},
		{Name: "ticket-race", Planned: true, Duration: killDuration, inject: submitConflictingTickets},
		{Name: "key-rotation", Planned: true, Duration: killDuration, inject: rotateKeys},
		{Name: "ticket-limits", Planned: true, Duration: killDuration, inject: changeLimits},
		{Name: "fabric-cut-to", Duration: fabricFaultDuration, inject: cutFabric(func(k *fabric.Knobs, a netip.AddrPort) { k.CutTo = append(k.CutTo, a) })},
		{Name: "fabric-cut-from", Duration: fabricFaultDuration, inject: cutFabric(func(k *fabric.Knobs, a netip.AddrPort) { k.CutFrom = append(k.CutFrom, a) })},
		{Name: "fabric-loss", Duration: fabricFaultDuration, inject: degradeFabric(fabric.Knobs{Loss: 0.03})},
		{Name: "fabric-disorder", Duration: fabricFaultDuration, inject: degradeFabric(fabric.Knobs{Duplication: 0.05, Reordering: 0.2, ReorderMillis: 5})},
		{Name: "store-down", Duration: storeFaultDuration, inject: degradeStore(platform.Faults{Down: true})},
		{Name: "store-slow", Duration: storeFaultDuration, inject: degradeStore(platform.Faults{Slow: time.Second})},
		{Name: "store-silent-watches", Duration: storeFaultDuration, inject: degradeStore(platform.Faults{SilentWatches: true})},
		{Name: "store-leases-lapse", Duration: killDuration, inject: expireLeases},
		{Name: "store-leases-lapse-balancer-freeze", Duration: freezeDuration, inject: combine(freezeBalancer, expireLeases)},
		{Name: "store-down-balancer-kill", Duration: storeFaultDuration, inject: combine(degradeStore(platform.Faults{Down: true}), killBalancer)},
		{Name: "ticket-answer-lost", Planned: true, Duration: drainDuration, inject: combine(loseStoreAnswers, drainByTicket(1))},
	}
}

// combine returns a fault that injects two faults at once.
func combine(first, second func(context.Context, *step) error) func(context.Context, *step) error {
	return func(ctx context.Context, s *step) error {
		if err := first(ctx, s); err != nil {
			return err
		}
		return second(ctx, s)
	}
}

// drainByTicket returns a fault that drains hosts by ticket and checks that they get no
// new requests after drainGrace.
func drainByTicket(count int) func(context.Context, *step) error {
	return func(ctx context.Context, s *step) error {
		for range count {
			h, err := s.pickHost()
			if err != nil {
				return err
			}
			s.addCleanup(func(ctx context.Context) error {
				if _, err := s.deployment.SetDraining(ctx, h, false); err != nil {
					return err
				}
				return s.deployment.WaitServing(ctx, []*deploy.Host{h})
			})
			if _, err := s.deployment.SetDraining(ctx, h, true); err != nil {
				return err
			}
			checkNoNewWork(ctx, s, h)
		}
		return nil
	}
}

// checkNoNewWork checks that a draining backend server serves no requests between
// drainGrace and the end of the fault.
func checkNoNewWork(ctx context.Context, s *step, h *deploy.Host) {
	type reading struct {
		served uint64
		err    error
	}
	atLimit := make(chan reading, 1)
	go func() {
		pause(ctx, drainGrace)
		l, err := s.deployment.BackendLoad(ctx, h)
		atLimit <- reading{l.Served, err}
	}()
	s.addCheck(func(ctx context.Context) []string {
		first := <-atLimit
		last, err := s.deployment.BackendLoad(ctx, h)
		if first.err != nil || err != nil {
			return []string{h.Backend.Name + " did not answer while it drained"}
		}
		if last.Served > first.served {
			return []string{fmt.Sprintf("%s received %d new requests more than %v after the start of its drain", h.Backend.Name, last.Served-first.served, drainGrace)}
		}
		return nil
	})
}

func changeLimits(ctx context.Context, s *step) error {
	s.addCleanup(func(ctx context.Context) error { return addSlots(ctx, s, -3) })
	return addSlots(ctx, s, 3)
}

// addSlots changes the slot limit of all services by n.
func addSlots(ctx context.Context, s *step, n int) error {
	_, err := s.deployment.SubmitTicket(ctx, func(specs []*service.Spec) {
		for _, spec := range specs {
			spec.Limits.Slots += n
		}
	})
	return err
}

// submitConflictingTickets submits several tickets based on the same revision and checks
// that exactly one is accepted and at least one gets a conflict.
func submitConflictingTickets(ctx context.Context, s *step) error {
	accepted, conflicts, err := s.deployment.SubmitConflictingTickets(ctx)
	if err != nil {
		return err
	}
	if accepted != 1 || conflicts == 0 {
		return fmt.Errorf("of the conflicting tickets %d were accepted (expected 1) and %d got a conflict (expected at least 1)", accepted, conflicts)
	}
	return nil
}

// rotateKeys adds a packet key to all processes and then makes it the current one.
func rotateKeys(ctx context.Context, s *step) error {
	if err := s.deployment.AddPacketKey(); err != nil {
		return err
	}
	pause(ctx, keyDistributionTime)
	s.addCheck(func(ctx context.Context) []string {
		if old := s.deployment.ProcessesWithoutNewestKey(ctx); len(old) > 0 {
			return []string{fmt.Sprintf("%v do not use the new packet key", old)}
		}
		return nil
	})
	return s.deployment.UsePacketKey()
}

// cutFabric returns a fault that drops packets between the fabric and one balancer. cut adds
// the balancer's address to CutTo or CutFrom of the knobs.
func cutFabric(cut func(*fabric.Knobs, netip.AddrPort)) func(context.Context, *step) error {
	return func(ctx context.Context, s *step) error {
		b, err := s.pickBalancer()
		if err != nil {
			return err
		}
		s.addCleanup(func(ctx context.Context) error {
			return s.deployment.UpdateFabricKnobs(ctx, func(k *fabric.Knobs) { k.CutTo, k.CutFrom = nil, nil })
		})
		return s.deployment.UpdateFabricKnobs(ctx, func(k *fabric.Knobs) { cut(k, b.FabricListen) })
	}
}

// degradeFabric returns a fault that sets loss, duplication and reordering of the fabric.
func degradeFabric(wanted fabric.Knobs) func(context.Context, *step) error {
	set := func(ctx context.Context, s *step, w fabric.Knobs) error {
		return s.deployment.UpdateFabricKnobs(ctx, func(k *fabric.Knobs) {
			k.Loss, k.Duplication = w.Loss, w.Duplication
			k.Reordering, k.ReorderMillis = w.Reordering, w.ReorderMillis
		})
	}
	return func(ctx context.Context, s *step) error {
		s.addCleanup(func(ctx context.Context) error { return set(ctx, s, fabric.Knobs{}) })
		return set(ctx, s, wanted)
	}
}

// degradeStore returns a fault that makes the platform's store misbehave as f specifies.
func degradeStore(f platform.Faults) func(context.Context, *step) error {
	return func(ctx context.Context, s *step) error {
		s.addCleanup(func(ctx context.Context) error {
			return s.deployment.ControlPlatform(ctx, platform.Control{Faults: &platform.Faults{}})
		})
		return s.deployment.ControlPlatform(ctx, platform.Control{Faults: &f})
	}
}

// loseStoreAnswers makes the store apply the next two writes without answering them.
func loseStoreAnswers(ctx context.Context, s *step) error {
	return s.deployment.ControlPlatform(ctx, platform.Control{Faults: &platform.Faults{LoseAnswers: 2}})
}

// expireLeases makes the store expire all leases.
func expireLeases(ctx context.Context, s *step) error {
	return s.deployment.ControlPlatform(ctx, platform.Control{ExpireLeases: true})
}
