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
	// pollBytes is the size in bytes of the answer to a poll.
	pollBytes = 300
	// maxTries bounds the tries of a request that was not sent or not run.
	maxTries   = 8
	retryDelay = 250 * time.Millisecond
	// Each target has its own random number streams.
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

// longFlow is a flow that stays open for the whole run.
type longFlow struct {
	*caller.Flow

	mu   sync.Mutex // guards keys
	keys []string
}

// maxHeldKeys bounds the unused idempotency keys that a caller keeps.
const maxHeldKeys = 4

// keepKey stores an idempotency key for a later booking.
func (l *longFlow) keepKey(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key != "" && len(l.keys) < maxHeldKeys {
		l.keys = append(l.keys, key)
	}
}

// takeKey removes and returns a stored key, or returns "" if no key is stored.
func (l *longFlow) takeKey() string {
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

// randomStream returns the number of the target's nth random number stream.
func (t *targetRun) randomStream(n uint64) uint64 { return t.index*streamsPerTarget + n }

// nextID returns a request ID that is unique within the run.
func (t *targetRun) nextID(kind string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	return fmt.Sprintf("%s-%s-%d-%d", t.target.Name, kind, t.run.cfg.Seed, t.sequence)
}

// openFlows opens the long flows at openRate.
func (t *targetRun) openFlows(ctx context.Context) {
	semaphore := make(chan struct{}, maxParallelOpens)
	var opening sync.WaitGroup
	start := time.Now()
	for i := range t.target.Mix.LongFlows {
		intended := start.Add(time.Duration(i) * time.Second / openRate)
		if !sleepUntil(ctx, intended) {
			break
		}
		semaphore <- struct{}{}
		opening.Go(func() {
			defer func() { <-semaphore }()
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
		a := t.retryUntilRun(ctx, ClassOpen, func() caller.Answer { return flow.Sheet(ctx, t.nextID("open"), pollBytes, 0) })
		t.recorder.record(ClassOpen, intended, a)
		l.keepKey(a.Key)
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

// retryUntilRun repeats a request that was not sent or not run, up to maxTries tries.
// Between two tries it waits for the delay in the answer, but at least retryDelay. It
// returns the last answer and records each earlier answer as a retry.
func (t *targetRun) retryUntilRun(ctx context.Context, c Class, send func() caller.Answer) caller.Answer {
	for try := 1; ; try++ {
		a := send()
		retriable := a.Verdict == caller.NotRun || a.Verdict == caller.NotSent
		if !retriable || try == maxTries {
			return a
		}
		if !sleepUntil(ctx, time.Now().Add(max(a.RetryAfter, retryDelay))) {
			return a
		}
		t.recorder.recordRetry(c, a)
	}
}

// startCallers starts all callers in the background. They end after ctx has ended.
func (t *targetRun) startCallers(ctx context.Context, start time.Time) {
	m := t.target.Mix
	duration := t.run.cfg.Duration
	phases := rand.New(rand.NewPCG(t.run.cfg.Seed, t.randomStream(phaseStream)))
	for i, l := range t.flows {
		phase := time.Duration(phases.Float64() * float64(m.PollInterval))
		if i < m.Feeds {
			t.run.work.Go(func() { t.readFeeds(ctx, l) })
		} else {
			t.run.work.Go(func() { t.poll(ctx, l, start.Add(phase)) })
		}
	}
	if m.SheetsPerSecond > 0 {
		a := newArrivals(t.run.cfg.Seed, t.randomStream(sheetStream), m.SheetsPerSecond)
		t.run.work.Go(func() {
			runArrivals(ctx, start, duration, a, func(intended time.Time) {
				t.run.startRequest(t.recorder, func() { t.downloadSheet(intended) })
			})
		})
	}
	if m.BookingsPerSecond > 0 && len(t.flows) > m.Feeds {
		a := newArrivals(t.run.cfg.Seed, t.randomStream(bookingStream), m.BookingsPerSecond)
		t.run.work.Go(func() {
			runArrivals(ctx, start, duration, a, func(intended time.Time) {
				l := t.flows[m.Feeds+a.rng.IntN(len(t.flows)-m.Feeds)]
				t.run.startRequest(t.recorder, func() { t.book(l, intended) })
			})
		})
	}
}

// requestContext returns a context with the timeout of one request. It does not derive from
// the context of the run, so that the end of the run cancels no request.
func (t *targetRun) requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), t.run.cfg.RequestTimeout)
}

// poll sends a request at each interval. If a late answer delays the next request, the
// latency of that request still counts from its intended start.
func (t *targetRun) poll(ctx context.Context, l *longFlow, first time.Time) {
	for intended := first; sleepUntil(ctx, intended); intended = intended.Add(t.target.Mix.PollInterval) {
		rctx, cancel := t.requestContext()
		id := t.nextID("poll")
		a := t.retryUntilRun(rctx, ClassPoll, func() caller.Answer { return l.Sheet(rctx, id, pollBytes, 0) })
		cancel()
		l.keepKey(a.Key)
		t.recorder.record(ClassPoll, intended, a)
	}
}

// readFeeds reads one feed after another.
func (t *targetRun) readFeeds(ctx context.Context, l *longFlow) {
	for ctx.Err() == nil {
		intended := time.Now()
		rctx, cancel := t.requestContext()
		id := t.nextID("feed")
		a := t.retryUntilRun(rctx, ClassFeed, func() caller.Answer { return l.Feed(rctx, id, t.target.Mix.FeedLines, t.target.Mix.FeedInterval) })
		cancel()
		t.recorder.record(ClassFeed, intended, a)
		if a.Verdict != caller.Answered {
			sleepUntil(ctx, time.Now().Add(retryDelay))
		}
	}
}

// downloadSheet opens a flow, downloads a sheet, and closes the flow.
func (t *targetRun) downloadSheet(intended time.Time) {
	ctx, cancel := t.requestContext()
	defer cancel()
	flow, err := caller.NewFlow(t.run.flowConfig(t.target, t.recorder))
	if err != nil {
		t.recorder.recordSkipped()
		return
	}
	defer flow.Close()
	id := t.nextID("sheet")
	a := t.retryUntilRun(ctx, ClassSheet, func() caller.Answer { return flow.Sheet(ctx, id, t.target.Mix.SheetBytes, 0) })
	t.recorder.record(ClassSheet, intended, a)
}

// book makes a booking on a long flow and repeats it until its outcome is known or
// a limit on repeats or time is reached.
func (t *targetRun) book(l *longFlow, intended time.Time) {
	ctx, cancel := t.requestContext()
	defer cancel()
	b, step := newBooking(t.nextID("book"), l.takeKey())
	var last caller.Answer
	for sends := 0; !step.done && sleepUntil(ctx, time.Now().Add(step.wait)); sends++ {
		if sends > 0 {
			t.recorder.recordRetry(ClassBooking, last)
		}
		last = l.Book(ctx, step.attempt, step.key, t.target.Mix.BookingWork)
		step = b.handleAnswer(last)
		if step.done {
			l.keepKey(last.Key)
		}
	}
	t.recorder.record(ClassBooking, intended, last)
	t.recorder.recordBooking(b.attempts)
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

func (t *targetRun) closeFlows() {
	for _, l := range t.flows {
		l.Close()
	}
}
