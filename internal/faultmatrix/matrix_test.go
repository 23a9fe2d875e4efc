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
	// ticketBound is the time in which an accepted ticket must be active at all processes.
	ticketBound    = 16 * time.Second
	sheetSize      = 40_000
	largeSheetSize = 2_000_000
	// bookingWork is how long a booking takes at the backend server.
	bookingWork = time.Second
	// uploadSize is large enough that a fault can be injected during the upload.
	uploadSize = 600_000
	// maxReopens bounds how often a caller opens a flow again.
	maxReopens = 2
	// maxRepeats bounds how often a caller repeats a booking with the same key.
	maxRepeats = 6
)

// cell is one cell of the matrix: faults injected at a step. Other tests use it to send
// requests and to check their results.
type cell struct {
	*fleet
	faults []fault
	// target is the agent whose flow is under test.
	target   int
	injected bool
	// answers are the last answers to requests.
	answers []namedAnswer
	// bookings are the last answers to bookings, by name.
	bookings map[string]caller.Answer
	accepted int64 // highest revision of an accepted ticket
	reverts  reverts
}

// namedAnswer is an answer and the name of its request.
type namedAnswer struct {
	name    string
	answer  caller.Answer
	service string
	// mayFail marks a request that the step itself may cause to fail.
	mayFail bool
}

// inject starts the faults of the cell.
func (c *cell) inject(target int) {
	c.injected = true
	for _, fault := range c.faults {
		fault.inject(c.fleet, target)
	}
}

// record adds an answer to the answers that verifyAnswers checks.
func (c *cell) record(name string, answer caller.Answer, mayFail bool) caller.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, namedAnswer{name: name, answer: answer, service: booking, mayFail: mayFail})
	return answer
}

func (c *cell) requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.ctx, requestTimeout)
}

func (c *cell) sheet(flow *caller.Flow, name string) caller.Answer { return c.slowSheet(flow, name, 0) }

// slowSheet requests a sheet that takes work at the backend server. During a cut between
// data centres it may have to open the flow again.
func (c *cell) slowSheet(flow *caller.Flow, name string, work time.Duration) caller.Answer {
	ctx, cancel := c.requestContext()
	defer cancel()
	answer := flow.Sheet(ctx, name, sheetSize, work)
	for range maxReopens {
		if answer.Verdict != caller.NotSent || !c.anyFault(func(f fault) bool { return f.cutsCentres }) {
			break
		}
		answer = flow.Sheet(ctx, name, sheetSize, work)
	}
	return c.record(name, answer, false)
}

// largeSheet requests a sheet of many packets.
func (c *cell) largeSheet(flow *caller.Flow, name string, work time.Duration) {
	ctx, cancel := c.requestContext()
	defer cancel()
	c.record(name, flow.Sheet(ctx, name, largeSheetSize, work), false)
}

// sheetMayFail requests a sheet while the step itself makes a backend server refuse requests.
func (c *cell) sheetMayFail(flow *caller.Flow, name string) {
	ctx, cancel := c.requestContext()
	defer cancel()
	c.record(name, flow.Sheet(ctx, name, sheetSize, 0), true)
}

func (c *cell) upload(flow *caller.Flow, name string) {
	ctx, cancel := c.requestContext()
	defer cancel()
	c.record(name, flow.Upload(ctx, name, uploadSize), false)
}

func (c *cell) feed(flow *caller.Flow, name string, lines int) {
	ctx, cancel := c.requestContext()
	defer cancel()
	c.record(name, flow.Feed(ctx, name, lines, 200*time.Millisecond), false)
}

// book makes a booking with a key of the system. While the outcome is unknown, it repeats
// the booking with the same key on another flow, as callers are asked to do.
func (c *cell) book(flow *caller.Flow, name string, work time.Duration) {
	ctx, cancel := c.requestContext()
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
			c.record(name, answer, false)
			return
		default:
			flow = c.open()
			time.Sleep(time.Duration(attempt+1) * 300 * time.Millisecond)
		}
	}
	c.record(name, c.bookings[name], false)
}

// issueKey returns an idempotency key that the agent of a flow issues.
func (c *cell) issueKey(flow *caller.Flow) string {
	ctx, cancel := c.requestContext()
	defer cancel()
	return flow.Sheet(ctx, "for its key", sheetSize, 0).Key
}

// bookWithKey makes a booking with a key that other callers may use at the same time, and
// waits while it is in progress.
func (c *cell) bookWithKey(flow *caller.Flow, name, key string) {
	ctx, cancel := c.requestContext()
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
	c.answers = append(c.answers, namedAnswer{name: name, answer: answer, service: booking})
}

// verify checks every guarantee after the step has ended.
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
	ctx, cancel := c.requestContext()
	defer cancel()
	return c.open().Sheet(ctx, "fresh", sheetSize, 0)
}

// anyFault reports whether one of the cell's faults has a property.
func (c *cell) anyFault(property func(fault) bool) bool {
	return slices.ContainsFunc(c.faults, property)
}

func (c *cell) losesTarget() bool {
	return c.anyFault(func(f fault) bool { return f.losesTarget })
}

// verifyAnswers checks that every answer is complete, belongs to its request and comes
// from the right service, and that every request was answered unless a fault made the
// target unavailable.
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
		if n.answer.Verdict != caller.Answered && !c.losesTarget() && !n.mayFail {
			c.t.Errorf("request %q got %v: %v", n.name, n.answer.Verdict, n.answer.Err)
		}
	}
}

// verifyFlows checks that no flow broke unless a fault made the target unavailable.
func (c *cell) verifyFlows(int) {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, end := range c.ended {
		if end.Broken && !c.losesTarget() {
			c.t.Errorf("a flow broke after %v (agent %s): %v", end.Age, end.Agent, end.Cause)
		}
	}
}

// verifyBookings checks against the ledgers that every booking ran at most once,
// that no booking ran that was answered "not run", and that every confirmed
// booking ran.
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
			c.t.Errorf("booking %q ran, but was answered as not run", name)
		}
		if last.Verdict == caller.Answered && counts[name] != 1 {
			c.t.Errorf("booking %q was answered and ran %d times", name, counts[name])
		}
	}
}

// verifyTickets checks that the last accepted ticket is active at all running processes,
// and that no balancer returned to an older configuration.
func (c *cell) verifyTickets() {
	c.t.Helper()
	c.mu.Lock()
	accepted := c.accepted
	c.mu.Unlock()
	for i, b := range c.balancers {
		if c.hasEnded(c.balancerProcesses[i]) {
			continue
		}
		if revision := b.Driver().Catalog().Revision(); revision < accepted {
			c.t.Errorf("balancer %d is at revision %d, ticket accepted at %d", i, revision, accepted)
		}
	}
	for i, a := range c.agents {
		if c.hasEnded(c.agentProcesses[i]) {
			continue
		}
		// An agent whose backend server has left announces no service, so it may have no configuration.
		if a.Revision() == 0 && !c.backendLeft[i] {
			c.t.Errorf("agent %d has no configuration", i)
		}
		if revision := a.Revision(); revision < c.acceptedFor(i) {
			c.t.Errorf("agent %d is at revision %d, ticket accepted at %d", i, revision, c.acceptedFor(i))
		}
	}
	for _, problem := range c.reverts.problems {
		c.t.Error(problem)
	}
}

// hasEnded reports whether a process has ended.
func (c *cell) hasEnded(p *process) bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// acceptedFor returns the revision that agent i must have reached. The tickets of the
// matrix change the booking service only.
func (c *cell) acceptedFor(i int) int64 {
	if serviceOf(i) != booking {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted
}

// runCell runs one cell of the matrix and checks every guarantee.
func runCell(t *testing.T, seed uint64, target int, s step, faults ...fault) {
	t.Helper()
	runFleet(t, seed, func(f *fleet) {
		c := &cell{fleet: f, faults: faults, target: target, bookings: make(map[string]caller.Answer)}
		f.onAccept = func(revision int64) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.accepted = max(c.accepted, revision)
		}
		stop := c.watchRevisions()
		target := s.run(c)
		if !c.injected {
			t.Fatal("the fault was not injected")
		}
		time.Sleep(faultSpan + ticketBound)
		stop()
		c.verify(target)
	})
}

// TestSingleFaults injects every fault at every step.
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

// pairCount is the number of pairs of faults that are drawn.
const pairCount = 60

// TestPairsOfFaults injects two faults at once at a step. A fixed seed draws them; pairs
// that are not compatible are left out.
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

// compatible reports whether two faults can be injected together: they must not
// change the same setting, and neither fault may act on a process that the other
// fault ends.
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

// change submits a ticket with a changed state of the booking service and calls onAccept
// if it is accepted. Under faults it may also end as a conflict, not applied, unavailable
// or unknown.
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

// reverts records balancers that returned to an older configuration.
type reverts struct{ problems []string }

// watchRevisions polls the revision of every balancer until the returned function is called.
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
			for i, b := range c.startedBalancers() {
				revision := b.Driver().Catalog().Revision()
				if revision < highest[balancerHost(i)] {
					c.reverts.problems = append(c.reverts.problems, fmt.Sprintf("balancer %d went back to revision %d", i, revision))
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
