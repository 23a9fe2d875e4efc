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
	storeHold  = 8 * time.Second
	fabricHold = 5 * time.Second
	// keySpread is the time that processes get to load a new key before it is used.
	keySpread = 2 * time.Second
)

// systemFaults are tickets and the faults of fabric and store.
func systemFaults() []Fault {
	return []Fault{
		{Name: "ticket-drain", Planned: true, Duration: drainHold, begin: drainByTicket(1)},
		{Name: "ticket-drain-two", Planned: true, Duration: drainHold, begin: drainByTicket(2)},
		{Name: "ticket-race", Planned: true, Duration: killHold, begin: raceOperators},
		{Name: "key-rotation", Planned: true, Duration: killHold, begin: rotateKeys},
		{Name: "ticket-limits", Planned: true, Duration: killHold, begin: changeLimits},
		{Name: "fabric-cut-to", Duration: fabricHold, begin: cutFabric(func(k *fabric.Knobs, a netip.AddrPort) { k.CutTo = append(k.CutTo, a) })},
		{Name: "fabric-cut-from", Duration: fabricHold, begin: cutFabric(func(k *fabric.Knobs, a netip.AddrPort) { k.CutFrom = append(k.CutFrom, a) })},
		{Name: "fabric-loss", Duration: fabricHold, begin: spoilFabric(fabric.Knobs{Loss: 0.03})},
		{Name: "fabric-disorder", Duration: fabricHold, begin: spoilFabric(fabric.Knobs{Duplication: 0.05, Reordering: 0.2, ReorderMillis: 5})},
		{Name: "store-down", Duration: storeHold, begin: spoilStore(platform.Faults{Down: true})},
		{Name: "store-slow", Duration: storeHold, begin: spoilStore(platform.Faults{Slow: time.Second})},
		{Name: "store-silent-watches", Duration: storeHold, begin: spoilStore(platform.Faults{SilentWatches: true})},
		{Name: "store-leases-lapse", Duration: killHold, begin: lapseLeases},
		{Name: "store-leases-lapse-balancer-freeze", Duration: freezeTime, begin: both(freezeBalancer, lapseLeases)},
		{Name: "store-down-balancer-kill", Duration: storeHold, begin: both(spoilStore(platform.Faults{Down: true}), killBalancer)},
		{Name: "ticket-answer-lost", Planned: true, Duration: drainHold, begin: both(loseAnswers, drainByTicket(1))},
	}
}

// both brings about two faults at once.
func both(first, second func(context.Context, *scene) error) func(context.Context, *scene) error {
	return func(ctx context.Context, s *scene) error {
		if err := first(ctx, s); err != nil {
			return err
		}
		return second(ctx, s)
	}
}

// drainByTicket drains hosts by ticket and checks that they get no new work
// after a few seconds.
func drainByTicket(count int) func(context.Context, *scene) error {
	return func(ctx context.Context, s *scene) error {
		for range count {
			h, err := s.host()
			if err != nil {
				return err
			}
			s.atEnd(func(ctx context.Context) error {
				if _, err := s.d.SetDraining(ctx, h, false); err != nil {
					return err
				}
				return s.d.WaitServing(ctx, []*deploy.Host{h})
			})
			if _, err := s.d.SetDraining(ctx, h, true); err != nil {
				return err
			}
			checkNoNewWork(ctx, s, h)
		}
		return nil
	}
}

// checkNoNewWork reads what a leaving backend server has served after the limit
// and again at the end of the hold.
func checkNoNewWork(ctx context.Context, s *scene, h *deploy.Host) {
	type reading struct {
		served uint64
		err    error
	}
	atLimit := make(chan reading, 1)
	go func() {
		pause(ctx, newWorkLimit)
		l, err := s.d.BackendLoad(ctx, h)
		atLimit <- reading{l.Served, err}
	}()
	s.check(func(ctx context.Context) []string {
		first := <-atLimit
		last, err := s.d.BackendLoad(ctx, h)
		if first.err != nil || err != nil {
			return []string{h.Backend.Name + " did not answer while it drained"}
		}
		if last.Served > first.served {
			return []string{fmt.Sprintf("%s got %d new requests %v after its drain began", h.Backend.Name, last.Served-first.served, newWorkLimit)}
		}
		return nil
	})
}

func changeLimits(ctx context.Context, s *scene) error {
	s.atEnd(func(ctx context.Context) error { return addSlots(ctx, s, -3) })
	return addSlots(ctx, s, 3)
}

func addSlots(ctx context.Context, s *scene, n int) error {
	_, err := s.d.SubmitTicket(ctx, func(specs []*service.Spec) {
		for _, spec := range specs {
			spec.Limits.Slots += n
		}
	})
	return err
}

// raceOperators submits several tickets against the same state: one must win
// and the others must get a conflict.
func raceOperators(ctx context.Context, s *scene) error {
	accepted, conflicts, err := s.d.SubmitConflictingTickets(ctx)
	if err != nil {
		return err
	}
	if accepted != 1 || conflicts == 0 {
		return fmt.Errorf("of racing tickets %d were accepted and %d got a conflict", accepted, conflicts)
	}
	return nil
}

// rotateKeys adds a packet key everywhere and then makes it the current one.
func rotateKeys(ctx context.Context, s *scene) error {
	if err := s.d.AddPacketKey(); err != nil {
		return err
	}
	pause(ctx, keySpread)
	s.check(func(ctx context.Context) []string {
		if old := s.d.ProcessesWithoutNewestKey(ctx); len(old) > 0 {
			return []string{fmt.Sprintf("%v do not use the new packet key", old)}
		}
		return nil
	})
	return s.d.UsePacketKey()
}

func cutFabric(cut func(*fabric.Knobs, netip.AddrPort)) func(context.Context, *scene) error {
	return func(ctx context.Context, s *scene) error {
		b, err := s.balancer()
		if err != nil {
			return err
		}
		s.atEnd(func(ctx context.Context) error {
			return s.d.UpdateFabricKnobs(ctx, func(k *fabric.Knobs) { k.CutTo, k.CutFrom = nil, nil })
		})
		return s.d.UpdateFabricKnobs(ctx, func(k *fabric.Knobs) { cut(k, b.FabricListen) })
	}
}

func spoilFabric(wanted fabric.Knobs) func(context.Context, *scene) error {
	set := func(ctx context.Context, s *scene, w fabric.Knobs) error {
		return s.d.UpdateFabricKnobs(ctx, func(k *fabric.Knobs) {
			k.Loss, k.Duplication = w.Loss, w.Duplication
			k.Reordering, k.ReorderMillis = w.Reordering, w.ReorderMillis
		})
	}
	return func(ctx context.Context, s *scene) error {
		s.atEnd(func(ctx context.Context) error { return set(ctx, s, fabric.Knobs{}) })
		return set(ctx, s, wanted)
	}
}

func spoilStore(f platform.Faults) func(context.Context, *scene) error {
	return func(ctx context.Context, s *scene) error {
		s.atEnd(func(ctx context.Context) error {
			return s.d.ControlPlatform(ctx, platform.Control{Faults: &platform.Faults{}})
		})
		return s.d.ControlPlatform(ctx, platform.Control{Faults: &f})
	}
}

// loseAnswers makes the store apply the next writes and lose their answers.
func loseAnswers(ctx context.Context, s *scene) error {
	return s.d.ControlPlatform(ctx, platform.Control{Faults: &platform.Faults{LoseAnswers: 2}})
}

func lapseLeases(ctx context.Context, s *scene) error {
	return s.d.ControlPlatform(ctx, platform.Control{ExpireLeases: true})
}
