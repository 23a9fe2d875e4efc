package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/almondledge/almondledge/internal/lab/caller"
)

const (
	// pollBytes is the size in bytes of the answer that a long flow polls for.
	pollBytes = 300
	// maxTries bounds the tries of a request that is said not to have run.
	maxTries     = 8
	tryAgainWait = 250 * time.Millisecond
	// Streams of random numbers of one target.
	streamsPerTarget = 4
	sheetStream      = 0
	bookingStream    = 1
	phaseStream      = 2
)

// targetRun drives the callers of one service.
type targetRun struct {
	run      *run
	target   Target
	index    uint64
	recorder *recorder

	mu        sync.Mutex // guards the fields below
	flows     []*longFlow
	opened    int
	notOpened int
	sequence  int
}

// longFlow is a flow that is held from start to end.
type longFlow struct {
	*caller.Flow

	mu   sync.Mutex // guards keys
	keys []string
}

// maxKeys bounds the idempotency keys that a caller keeps in hand.
const maxKeys = 4

func (l *longFlow) keep(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key != "" && len(l.keys) < maxKeys {
		l.keys = append(l.keys, key)
	}
}

// take returns a key in hand, or an empty one.
func (l *longFlow) take() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.keys) == 0 {
		return ""
	}
	key := l.keys[len(l.keys)-1]
	l.keys = l.keys[:len(l.keys)-1]
	return key
}

func newTargetRun(r *run, t Target, index uint64, start time.Time) *targetRun {
	return &targetRun{run: r, target: t, index: index, recorder: newRecorder(start)}
}

func (t *targetRun) stream(n uint64) uint64 { return t.index*streamsPerTarget + n }

// nextID returns a name for a request that no other request of the run has.
func (t *targetRun) nextID(kind string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	return fmt.Sprintf("%s-%s-%d-%d", t.target.Name, kind, t.run.cfg.Seed, t.sequence)
}

// openFlows opens the long flows at a steady rate.
func (t *targetRun) openFlows(ctx context.Context) {
	tickets := make(chan struct{}, openParallel)
	var opening sync.WaitGroup
	start := time.Now()
	for i := range t.target.Mix.LongFlows {
		intended := start.Add(time.Duration(i) * time.Second / openRate)
		if !sleepUntil(ctx, intended) {
			break
		}
		tickets <- struct{}{}
		opening.Go(func() {
			defer func() { <-tickets }()
			t.openFlow(ctx, intended)
		})
	}
	opening.Wait()
}

func (t *targetRun) openFlow(ctx context.Context, intended time.Time) {
	ctx, cancel := context.WithTimeout(ctx, t.run.cfg.RequestTimeout)
	defer cancel()
	flow, err := caller.NewFlow(t.run.flowConfig(t.target, t.recorder))
	if err == nil {
		l := &longFlow{Flow: flow}
		a := t.tryUntilRun(ctx, ClassOpen, func() caller.Answer { return flow.Sheet(ctx, t.nextID("open"), pollBytes, 0) })
		t.recorder.record(ClassOpen, intended, a)
		l.keep(a.Key)
		if a.Verdict == caller.Answered {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.opened++
			t.flows = append(t.flows, l)
			return
		}
		flow.Close()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notOpened++
}

// tryUntilRun repeats a request that was not run, after the wait that the
// answer suggests. It returns the last answer; earlier tries are counted.
func (t *targetRun) tryUntilRun(ctx context.Context, c Class, send func() caller.Answer) caller.Answer {
	for try := 1; ; try++ {
		a := send()
		again := a.Verdict == caller.NotRun || a.Verdict == caller.NotSent
		if !again || try == maxTries {
			return a
		}
		if !sleepUntil(ctx, time.Now().Add(max(a.RetryAfter, tryAgainWait))) {
			return a
		}
		t.recorder.retried(c, a)
	}
}

// begin starts all callers; they end by themselves after ctx has ended.
func (t *targetRun) begin(ctx context.Context, start time.Time) {
	m := t.target.Mix
	duration := t.run.cfg.Duration
	phases := rand.New(rand.NewPCG(t.run.cfg.Seed, t.stream(phaseStream)))
	for i, l := range t.flows {
		phase := time.Duration(phases.Float64() * float64(m.PollInterval))
		if i < m.Feeds {
			t.run.work.Go(func() { t.readFeeds(ctx, l) })
		} else {
			t.run.work.Go(func() { t.poll(ctx, l, start.Add(phase)) })
		}
	}
	if m.SheetsPerSecond > 0 {
		a := newArrivals(t.run.cfg.Seed, t.stream(sheetStream), m.SheetsPerSecond)
		t.run.work.Go(func() {
			runArrivals(ctx, start, duration, a, func(intended time.Time) {
				t.run.spawn(t.recorder, func() { t.downloadSheet(intended) })
			})
		})
	}
	if m.BookingsPerSecond > 0 && len(t.flows) > m.Feeds {
		a := newArrivals(t.run.cfg.Seed, t.stream(bookingStream), m.BookingsPerSecond)
		t.run.work.Go(func() {
			runArrivals(ctx, start, duration, a, func(intended time.Time) {
				l := t.flows[m.Feeds+a.rng.IntN(len(t.flows)-m.Feeds)]
				t.run.spawn(t.recorder, func() { t.book(l, intended) })
			})
		})
	}
}

// requestContext bounds one request. It does not end with the run, so that no
// request is given up when the run ends.
func (t *targetRun) requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), t.run.cfg.RequestTimeout)
}

// poll sends a request at each interval. One that is late starts late, and its
// latency counts from the intended start all the same.
func (t *targetRun) poll(ctx context.Context, l *longFlow, first time.Time) {
	for intended := first; sleepUntil(ctx, intended); intended = intended.Add(t.target.Mix.PollInterval) {
		rctx, cancel := t.requestContext()
		id := t.nextID("poll")
		a := t.tryUntilRun(rctx, ClassPoll, func() caller.Answer { return l.Sheet(rctx, id, pollBytes, 0) })
		cancel()
		l.keep(a.Key)
		t.recorder.record(ClassPoll, intended, a)
	}
}

// readFeeds reads one feed after another.
func (t *targetRun) readFeeds(ctx context.Context, l *longFlow) {
	for ctx.Err() == nil {
		intended := time.Now()
		rctx, cancel := t.requestContext()
		id := t.nextID("feed")
		a := t.tryUntilRun(rctx, ClassFeed, func() caller.Answer { return l.Feed(rctx, id, t.target.Mix.FeedLines, t.target.Mix.FeedInterval) })
		cancel()
		t.recorder.record(ClassFeed, intended, a)
		if a.Verdict != caller.Answered {
			sleepUntil(ctx, time.Now().Add(tryAgainWait))
		}
	}
}

// downloadSheet opens a flow, downloads a sheet, and closes the flow.
func (t *targetRun) downloadSheet(intended time.Time) {
	ctx, cancel := t.requestContext()
	defer cancel()
	flow, err := caller.NewFlow(t.run.flowConfig(t.target, t.recorder))
	if err != nil {
		t.recorder.skip()
		return
	}
	defer flow.Close()
	id := t.nextID("sheet")
	a := t.tryUntilRun(ctx, ClassSheet, func() caller.Answer { return flow.Sheet(ctx, id, t.target.Mix.SheetBytes, 0) })
	t.recorder.record(ClassSheet, intended, a)
}

// book makes a booking on a long flow, with repeats until its outcome is known
// or the caller gives up.
func (t *targetRun) book(l *longFlow, intended time.Time) {
	ctx, cancel := t.requestContext()
	defer cancel()
	b, step := newBooking(t.nextID("book"), l.take())
	var last caller.Answer
	for sends := 0; !step.done && sleepUntil(ctx, time.Now().Add(step.wait)); sends++ {
		if sends > 0 {
			t.recorder.retried(ClassBooking, last)
		}
		last = l.Book(ctx, step.attempt, step.key, t.target.Mix.BookingWork)
		step = b.answer(last)
		if step.done {
			l.keep(last.Key)
		}
	}
	t.recorder.record(ClassBooking, intended, last)
	t.recorder.booked(b.attempts)
}

// flowsPerAgent counts the long flows by the agent that answered last.
func (t *targetRun) flowsPerAgent() map[string]int {
	counts := make(map[string]int)
	for _, l := range t.flows {
		if agent := l.Agent(); agent != "" {
			counts[agent]++
		}
	}
	return counts
}

func (t *targetRun) close() {
	for _, l := range t.flows {
		l.Close()
	}
}
