package faultmatrix

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/lab/caller"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/standin/backend"
)

const (
	requestTimeout = 30 * time.Second
	// forceTime is the time in which an accepted ticket must be in force everywhere.
	forceTime      = 16 * time.Second
	sheetSize      = 40_000
	largeSheetSize = 2_000_000
	// bookingWork is how long a booking takes at the backend server.
	bookingWork = time.Second
	// uploadSize takes long enough to be caught half way.
	uploadSize = 600_000
	// maxReopens bounds how often a caller opens a flow again.
	maxReopens = 2
	// maxRepeats bounds how often a caller repeats a booking with the same key.
	maxRepeats = 6
)

// cell is one fault at one step.
type cell struct {
	*fleet
	faults []fault
	// target is the agent whose flow is under test.
	target int
	struck bool
	// answers are what callers got, by request.
	answers []named
	// bookings are what callers of bookings were told last.
	bookings map[string]caller.Answer
	accepted int64
	revision revisions
}

type named struct {
	name    string
	answer  caller.Answer
	service string
	// mayFail marks requests that a fault of the step itself may fail.
	mayFail bool
}

func (c *cell) strike(target int) {
	c.struck = true
	for _, fault := range c.faults {
		fault.strike(c.fleet, target)
	}
}

func (c *cell) note(name string, answer caller.Answer, mayFail bool) caller.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, named{name: name, answer: answer, service: booking, mayFail: mayFail})
	return answer
}

func (c *cell) bounded() (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.ctx, requestTimeout)
}

func (c *cell) sheet(flow *caller.Flow, name string) caller.Answer { return c.slowSheet(flow, name, 0) }

func (c *cell) slowSheet(flow *caller.Flow, name string, work time.Duration) caller.Answer {
	ctx, cancel := c.bounded()
	defer cancel()
	answer := flow.Sheet(ctx, name, sheetSize, work)
	for range maxReopens {
		if answer.Verdict != caller.NotSent || !c.has(func(f fault) bool { return f.cuts }) {
			break
		}
		answer = flow.Sheet(ctx, name, sheetSize, work)
	}
	return c.note(name, answer, false)
}

// largeSheet asks for a sheet of many packets.
func (c *cell) largeSheet(flow *caller.Flow, name string, work time.Duration) {
	ctx, cancel := c.bounded()
	defer cancel()
	c.note(name, flow.Sheet(ctx, name, largeSheetSize, work), false)
}

// sheetMayFail asks for a sheet while the step itself makes a backend server refuse.
func (c *cell) sheetMayFail(flow *caller.Flow, name string) {
	ctx, cancel := c.bounded()
	defer cancel()
	c.note(name, flow.Sheet(ctx, name, sheetSize, 0), true)
}

func (c *cell) upload(flow *caller.Flow, name string) {
	ctx, cancel := c.bounded()
	defer cancel()
	c.note(name, flow.Upload(ctx, name, uploadSize), false)
}

func (c *cell) feed(flow *caller.Flow, name string, lines int) {
	ctx, cancel := c.bounded()
	defer cancel()
	c.note(name, flow.Feed(ctx, name, lines, 200*time.Millisecond), false)
}

// book books with a key of the system, and repeats with the same key on another
// flow when the outcome is not known, as a careful caller does.
func (c *cell) book(flow *caller.Flow, name string, work time.Duration) {
	ctx, cancel := c.bounded()
	defer cancel()
	key := ""
	for attempt := range maxRepeats {
		answer := flow.Book(ctx, name, key, work)
		c.mu.Lock()
		c.bookings[name] = answer
		c.mu.Unlock()
		switch answer.Verdict {
		case caller.KeyNeeded:
			key = answer.Key
		case caller.Answered, caller.NotRun:
			c.note(name, answer, false)
			return
		default:
			flow = c.open()
			time.Sleep(time.Duration(attempt+1) * 300 * time.Millisecond)
		}
	}
	c.note(name, c.bookings[name], false)
}

// key returns an idempotency key that the agent of a flow issued.
func (c *cell) key(flow *caller.Flow) string {
	ctx, cancel := c.bounded()
	defer cancel()
	return flow.Sheet(ctx, "for its key", sheetSize, 0).Key
}

// bookUnder books once under a key that other callers may use at the same time.
func (c *cell) bookUnder(flow *caller.Flow, name, key string) {
	ctx, cancel := c.bounded()
	defer cancel()
	answer := flow.Book(ctx, name, key, bookingWork)
	for answer.Verdict == caller.InProgress {
		time.Sleep(300 * time.Millisecond)
		answer = flow.Book(ctx, name, key, bookingWork)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if last, ok := c.bookings[name]; !ok || last.Verdict != caller.Answered {
		c.bookings[name] = answer
	}
	c.answers = append(c.answers, named{name: name, answer: answer, service: booking})
}

// verify checks every promise after the step was seen through.
func (c *cell) verify(target int) {
	c.t.Helper()
	c.verifyAnswers(target)
	c.verifyFlows(target)
	c.verifyBookings()
	c.verifyTickets()
	if answer := c.freshSheet(); answer.Verdict != caller.Answered {
		c.t.Errorf("after the fault a new flow got %v: %v", answer.Verdict, answer.Err)
	}
}

func (c *cell) freshSheet() caller.Answer {
	ctx, cancel := c.bounded()
	defer cancel()
	return c.open().Sheet(ctx, "fresh", sheetSize, 0)
}

// has reports whether one of the cell's faults has a property.
func (c *cell) has(property func(fault) bool) bool {
	return slices.ContainsFunc(c.faults, property)
}

func (c *cell) loses() bool {
	return c.has(func(f fault) bool { return f.loses })
}

// verifyAnswers checks that answers are whole, own and of the right service,
// and that no planned change cut a request.
func (c *cell) verifyAnswers(int) {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.answers {
		if n.answer.Verdict == caller.Wrong {
			c.t.Errorf("request %q got a wrong answer: %v", n.name, n.answer.Err)
		}
		if n.answer.Server != "" && !strings.HasPrefix(n.answer.Server, n.service+"/") {
			c.t.Errorf("request %q of %s reached backend server %s", n.name, n.service, n.answer.Server)
		}
		if n.answer.Verdict != caller.Answered && !c.loses() && !n.mayFail {
			c.t.Errorf("request %q got %v: %v", n.name, n.answer.Verdict, n.answer.Err)
		}
	}
}

// verifyFlows checks that no flow broke without the loss of its agent.
func (c *cell) verifyFlows(int) {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, end := range c.ended {
		if end.Broken && !c.loses() {
			c.t.Errorf("a flow broke after %v (agent %s): %v", end.Age, end.Agent, end.Cause)
		}
	}
}

// verifyBookings checks "at most once" and "not run is true" against the ledgers.
func (c *cell) verifyBookings() {
	c.t.Helper()
	var runs []backend.Run
	for _, server := range c.backends {
		runs = append(runs, server.Ledger().Runs()...)
	}
	counts := backend.CountRuns(runs)
	for name, last := range c.bookings {
		if counts[name] > 1 {
			c.t.Errorf("booking %q ran %d times", name, counts[name])
		}
		if last.Verdict == caller.NotRun && counts[name] != 0 {
			c.t.Errorf("booking %q ran, but its caller was told that it did not", name)
		}
		if last.Verdict == caller.Answered && counts[name] != 1 {
			c.t.Errorf("booking %q was answered and ran %d times", name, counts[name])
		}
	}
}

// verifyTickets checks that the last accepted ticket is in force everywhere and
// that no process ever went back.
func (c *cell) verifyTickets() {
	c.t.Helper()
	c.mu.Lock()
	accepted := c.accepted
	c.mu.Unlock()
	for i, b := range c.balancers {
		if c.gone(c.balancerAt[i]) {
			continue
		}
		if revision := b.Driver().Catalog().Revision(); revision < accepted {
			c.t.Errorf("balancer %d is at revision %d, ticket accepted at %d", i, revision, accepted)
		}
	}
	for i, a := range c.agents {
		if c.gone(c.agentAt[i]) {
			continue
		}
		// An agent whose backend server has left has nobody to announce.
		if a.Revision() == 0 && !c.backendLeft[i] {
			c.t.Errorf("agent %d has no configuration", i)
		}
		if revision := a.Revision(); revision < c.acceptedFor(i) {
			c.t.Errorf("agent %d is at revision %d, ticket accepted at %d", i, revision, c.acceptedFor(i))
		}
	}
	for _, problem := range c.revision.problems {
		c.t.Error(problem)
	}
}

func (c *cell) gone(l *life) bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// acceptedFor returns the revision that agent i must have: tickets of the
// matrix touch the booking service only.
func (c *cell) acceptedFor(i int) int64 {
	if serviceOf(i) != booking {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted
}

// runCell plays one cell.
func runCell(t *testing.T, seed uint64, target int, s step, faults ...fault) {
	t.Helper()
	run(t, seed, func(f *fleet) {
		c := &cell{fleet: f, faults: faults, target: target, bookings: make(map[string]caller.Answer)}
		f.onAccept = func(revision int64) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.accepted = max(c.accepted, revision)
		}
		stop := c.watchRevisions()
		target := s.play(c)
		if !c.struck {
			t.Fatal("the fault did not strike")
		}
		time.Sleep(faultSpan + forceTime)
		stop()
		c.verify(target)
	})
}

// TestSingleFaults plays every fault at every step.
func TestSingleFaults(t *testing.T) {
	for i, fault := range faults {
		for k, step := range steps {
			t.Run(fault.name+"/"+step.name, func(t *testing.T) {
				t.Parallel()
				runCell(t, uint64(100*i+k), (i+k)%bookingAgents, step, fault)
			})
		}
	}
}

// pairCount is the number of pairs of faults that are played.
const pairCount = 60

// TestPairsOfFaults plays two faults at once at a step, chosen by a fixed seed.
func TestPairsOfFaults(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for i := range pairCount {
		a, b, s := faults[1+random.IntN(len(faults)-1)], faults[1+random.IntN(len(faults)-1)], steps[random.IntN(len(steps))]
		if !compatible(a, b) {
			continue
		}
		t.Run(fmt.Sprintf("%d/%s+%s/%s", i, a.name, b.name, s.name), func(t *testing.T) {
			t.Parallel()
			runCell(t, uint64(i), i%bookingAgents, s, a, b)
		})
	}
}

// compatible reports whether two faults can strike together: both must not
// change the same knob, and one must not act on a process that the other ended.
func compatible(a, b fault) bool {
	if a.name == b.name {
		return false
	}
	for _, subject := range []string{"agent", "backend server", "store", "data centres", "link", "balancer"} {
		if strings.HasPrefix(a.name, subject) && strings.HasPrefix(b.name, subject) {
			return false
		}
	}
	sharesLinks := func(f fault) bool {
		return f.name == "uneven updates" || strings.HasPrefix(f.name, "data centres") || f.name == "balancer cut from the fabric" || strings.HasPrefix(f.name, "link")
	}
	return !sharesLinks(a) || !sharesLinks(b)
}

// change submits a ticket with a changed state of the booking service and notes
// its revision; a conflict or an unknown outcome is the truth and allowed.
func (f *fleet) change(name string, change func(*service.Spec)) {
	f.mu.Lock()
	change(&f.booking)
	spec := f.booking
	f.mu.Unlock()
	outcome, err := f.trySubmit(name, spec)
	switch {
	case err == nil:
		f.onAccept(outcome.Revision)
	case errkind.Is(err, errkind.Conflict), errkind.Is(err, errkind.Unknown), errkind.Is(err, errkind.NotApplied), errkind.Is(err, errkind.Unavailable):
	default:
		f.t.Errorf("ticket %s: %v", name, err)
	}
}

// revisions notes processes whose configuration went back.
type revisions struct{ problems []string }

// watchRevisions looks at every balancer's revision until the returned function is called.
func (c *cell) watchRevisions() func() {
	done := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		highest := make(map[netip.Addr]int64)
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
			for i, b := range c.liveBalancers() {
				revision := b.Driver().Catalog().Revision()
				if revision < highest[balancerHost(i)] {
					c.revision.problems = append(c.revision.problems, fmt.Sprintf("balancer %d went back to revision %d", i, revision))
				}
				highest[balancerHost(i)] = revision
			}
		}
	}()
	return func() {
		close(done)
		<-stopped
	}
}
