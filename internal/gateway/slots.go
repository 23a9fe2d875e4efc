package gateway

import (
	"net/netip"
	"sync"
	"time"

	"github.com/almondledge/almondledge/internal/admission"
)

// slots adds a lock and a timer to the admission control, and holds the channels of the waiting
// requests.
type slots struct {
	cfg Config

	mu         sync.Mutex
	controller *admission.Controller
	waiting    map[admission.RequestID]chan admission.Decision
	timer      *time.Timer
	lastLoad   int
	outlier    bool
}

// fullLoad is the load of a backend server that should receive no further requests.
const fullLoad = 255

func newSlots(cfg Config) *slots {
	return &slots{
		cfg:        cfg,
		controller: admission.New(cfg.Now(), cfg.Spec().Limits, cfg.Ramp),
		waiting:    make(map[admission.RequestID]chan admission.Decision),
		lastLoad:   -1,
	}
}

// offer requests a slot. For a queued request the returned channel receives the decision later.
// With freeOnly the request is refused instead of queued.
func (s *slots) offer(caller netip.Addr, deadline time.Time, freeOnly bool) (admission.RequestID, admission.Decision, <-chan admission.Decision) {
	limits := s.cfg.Spec().Limits
	now, rnd := s.cfg.Now(), s.cfg.Rand()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify(s.controller.SetLimits(now, rnd, limits))
	if freeOnly && (s.outlier || !s.controller.HasFreeSlot(now)) {
		return 0, admission.Decision{Verdict: admission.Refused, Reason: admission.ReasonQueueFull}, nil
	}
	id, decision, changes := s.controller.Offer(now, rnd, caller, deadline)
	var wait chan admission.Decision
	if decision.Verdict == admission.Queued {
		wait = make(chan admission.Decision, 1)
		s.waiting[id] = wait
	}
	s.notify(changes)
	s.update(now)
	return id, decision, wait
}

// hasFreeSlot reports whether a request would be admitted at once.
func (s *slots) hasFreeSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controller.HasFreeSlot(s.cfg.Now())
}

// release frees a slot, or removes a request from the queue.
func (s *slots) release(id admission.RequestID) {
	now, rnd := s.cfg.Now(), s.cfg.Rand()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
	s.notify(s.controller.Cancel(now, rnd, id))
	s.update(now)
}

// setOutlier makes the agent report full load while its backend server is an outlier, so that its
// peers receive its requests as long as any peer is less loaded.
func (s *slots) setOutlier(outlier bool) {
	now := s.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outlier = outlier
	s.update(now)
}

func (s *slots) tick() {
	now, rnd := s.cfg.Now(), s.cfg.Rand()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify(s.controller.Tick(now, rnd))
	s.update(now)
}

// notify sends the decisions to the waiting requests.
func (s *slots) notify(changes []admission.Change) {
	for _, c := range changes {
		if wait := s.waiting[c.ID]; wait != nil {
			wait <- c.Decision
			delete(s.waiting, c.ID)
		}
	}
}

// update schedules the next tick and reports a changed load. The caller must hold mu.
func (s *slots) update(now time.Time) {
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if next, ok := s.controller.NextTick(now); ok {
		s.timer = time.AfterFunc(max(next.Sub(now), 0), s.tick)
	}
	load := s.controller.Load(now)
	if s.outlier {
		load = fullLoad
	}
	if int(load) != s.lastLoad {
		s.lastLoad = int(load)
		s.cfg.OnLoad(load)
	}
}
