package gateway

import (
	"net/netip"
	"sync"
	"time"

	"github.com/almondledge/almondledge/internal/admission"
)

// slots is the driver of the admission control: it owns its lock, its timer
// and the waiting requests.
type slots struct {
	cfg Config

	mu       sync.Mutex
	control  *admission.Controller
	waiting  map[admission.RequestID]chan admission.Decision
	timer    *time.Timer
	lastLoad int
	outlier  bool
}

// fullLoad is the load of a backend server that should get no further work.
const fullLoad = 255

func newSlots(cfg Config) *slots {
	return &slots{
		cfg:      cfg,
		control:  admission.New(cfg.Now(), cfg.Spec().Limits, cfg.Ramp),
		waiting:  make(map[admission.RequestID]chan admission.Decision),
		lastLoad: -1,
	}
}

// offer asks for a slot. For a queued request the channel gets the decision. A
// request that takes a free slot only is refused instead of queued.
func (s *slots) offer(caller netip.Addr, deadline time.Time, freeOnly bool) (admission.RequestID, admission.Decision, <-chan admission.Decision) {
	limits := s.cfg.Spec().Limits
	now, rnd := s.cfg.Now(), s.cfg.Rand()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.control.SetLimits(now, rnd, limits))
	if freeOnly && (s.outlier || !s.control.HasFreeSlot(now)) {
		return 0, admission.Decision{Verdict: admission.Refused, Reason: admission.ReasonQueueFull}, nil
	}
	ticket, decision, changes := s.control.Offer(now, rnd, caller, deadline)
	var wait chan admission.Decision
	if decision.Verdict == admission.Queued {
		wait = make(chan admission.Decision, 1)
		s.waiting[ticket] = wait
	}
	s.deliver(changes)
	s.settle(now)
	return ticket, decision, wait
}

// hasRoom reports whether a request would run at once.
func (s *slots) hasRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control.HasFreeSlot(s.cfg.Now())
}

// release gives a slot back, or a place in the queue.
func (s *slots) release(t admission.RequestID) {
	now, rnd := s.cfg.Now(), s.cfg.Rand()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, t)
	s.deliver(s.control.Cancel(now, rnd, t))
	s.settle(now)
}

// setOutlier makes an outlier report full load, so that others get its work
// while any of them is better off.
func (s *slots) setOutlier(outlier bool) {
	now := s.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outlier = outlier
	s.settle(now)
}

func (s *slots) tick() {
	now, rnd := s.cfg.Now(), s.cfg.Rand()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.control.Tick(now, rnd))
	s.settle(now)
}

// deliver wakes the waiting requests that changes decide.
func (s *slots) deliver(changes []admission.Change) {
	for _, c := range changes {
		if wait := s.waiting[c.ID]; wait != nil {
			wait <- c.Decision
			delete(s.waiting, c.ID)
		}
	}
}

// settle plans the next tick and reports a new load.
func (s *slots) settle(now time.Time) {
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if next, ok := s.control.NextTick(now); ok {
		s.timer = time.AfterFunc(max(next.Sub(now), 0), s.tick)
	}
	load := s.control.Load(now)
	if s.outlier {
		load = fullLoad
	}
	if int(load) != s.lastLoad {
		s.lastLoad = int(load)
		s.cfg.OnLoad(load)
	}
}
