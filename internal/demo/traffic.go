package demo

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/almondledge/almondledge/internal/lab/caller"
	"github.com/almondledge/almondledge/internal/localfleet"
)

const (
	// trafficTime is the time in which new requests are started.
	trafficTime = 16 * time.Second
	// requestTimeout bounds one request with its repeats.
	requestTimeout = 8 * time.Second
	// repeatPause is the shortest wait before a request that was not run is sent again.
	repeatPause = 250 * time.Millisecond
	// maxTries bounds how often a request that was not run is sent.
	maxTries = 8
	// deskInterval is the time between two requests of a desk session.
	deskInterval = 200 * time.Millisecond
	// deskBytes is the size of the answers to a desk session.
	deskBytes = 300
	// feedLines and feedInterval make a feed of two seconds, which is read again when it ends.
	feedLines    = 10
	feedInterval = 200 * time.Millisecond
	// sheetBytes is the size of a tide and wave sheet.
	sheetBytes = 256 << 10
	// bookingWork is the time that a backend server takes for a booking.
	bookingWork = 20 * time.Millisecond
)

// mix is the request mix of the callers of one service.
type mix struct {
	// desks and feeds are the numbers of desk sessions and of feed readers, each on a
	// flow of its own for the whole run.
	desks, feeds int
	// sheets is the interval between downloads and phones the interval between
	// bookings by phone, each on a flow of its own; bookings is the interval
	// between bookings from desks. Zero disables the requests.
	sheets, phones, bookings time.Duration
}

// mixes are the request mixes of the services.
var mixes = map[string]mix{
	bookingService:  {desks: 40, feeds: 4, phones: 200 * time.Millisecond, bookings: 120 * time.Millisecond},
	bulletinService: {desks: 16, feeds: 4, sheets: 150 * time.Millisecond},
}

// planned returns the kinds of request of the mix.
func (m mix) planned() []class {
	var planned []class
	add := func(wanted bool, c class) {
		if wanted {
			planned = append(planned, c)
		}
	}
	add(m.desks > 0, classDesk)
	add(m.feeds > 0, classFeed)
	add(m.sheets > 0, classSheet)
	add(m.phones > 0 || m.bookings > 0, classBooking)
	return planned
}

// callers runs the callers of one service.
type callers struct {
	service  string
	address  netip.AddrPort
	tls      *tls.Config
	mix      mix
	recorder *recorder
	desks    []*desk
	sequence atomic.Int64
	open     atomic.Int64
	work     sync.WaitGroup
}

// session is a flow whose connections are recorded when its caller closes it.
type session struct {
	*caller.Flow
	callers *callers
}

// desk is a session that stays open for the whole run.
type desk struct {
	*session

	mu  sync.Mutex // guards key
	key string
}

// keepKey keeps an idempotency key, unless it is empty, for the next booking.
func (d *desk) keepKey(key string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if key != "" {
		d.key = key
	}
}

// takeKey removes the kept key and returns it, since a key is used for one
// booking only. Without a kept key it returns an empty string.
func (d *desk) takeKey() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := d.key
	d.key = ""
	return key
}

func (c *callers) newSession() (*session, error) {
	flow, err := caller.NewFlow(caller.Config{
		Address: c.address, ServerName: localfleet.CallerHost, TLS: c.tls, OnEnd: c.recorder.connectionEnded,
	})
	if err != nil {
		return nil, err
	}
	c.open.Add(1)
	return &session{Flow: flow, callers: c}, nil
}

func (s *session) close() {
	s.Close()
	s.callers.open.Add(-1)
	s.callers.recorder.flowClosed(s.Connections())
}

// nextID returns a name that is unique among the requests to the service.
func (c *callers) nextID(kind class) string {
	return fmt.Sprintf("%s-%s-%d", c.service, kind, c.sequence.Add(1))
}

// start starts all callers. After ctx has ended they start no new request, and end when
// the requests under way have ended.
func (c *callers) start(ctx context.Context) error {
	for range c.mix.feeds {
		s, err := c.newSession()
		if err != nil {
			return err
		}
		c.work.Go(func() { c.readFeeds(ctx, s) })
	}
	for range c.mix.desks {
		s, err := c.newSession()
		if err != nil {
			return err
		}
		d := &desk{session: s}
		c.desks = append(c.desks, d)
		c.work.Go(func() { c.holdDesk(ctx, d) })
	}
	c.every(ctx, c.mix.sheets, c.downloadSheet)
	c.every(ctx, c.mix.phones, c.bookByPhone)
	c.every(ctx, c.mix.bookings, func(intended time.Time) {
		d := c.desks[rand.IntN(len(c.desks))]
		d.keepKey(c.book(d.session, intended, d.takeKey()))
	})
	return nil
}

// every calls do at each interval, whether or not earlier calls have returned.
func (c *callers) every(ctx context.Context, interval time.Duration, do func(intended time.Time)) {
	if interval == 0 {
		return
	}
	c.work.Go(func() {
		for next := time.Now().Add(interval); sleepUntil(ctx, next); next = next.Add(interval) {
			c.work.Go(func() { do(next) })
		}
	})
}

// wait waits for the requests under way and closes the desks.
func (c *callers) wait() {
	c.work.Wait()
	for _, d := range c.desks {
		d.close()
	}
}

// requestContext returns the context of one request. It does not end with the run, so
// that the end of the run cancels no request.
func requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), requestTimeout)
}

// retryUntilRun repeats a request that was not run, after the wait that the answer
// suggests, and returns the last answer.
func (c *callers) retryUntilRun(ctx context.Context, send func() caller.Answer) caller.Answer {
	for try := 1; ; try++ {
		a := send()
		c.recorder.answer(a)
		again := a.Verdict == caller.NotRun || a.Verdict == caller.NotSent
		if !again || try == maxTries || !sleepUntil(ctx, time.Now().Add(max(a.RetryAfter, repeatPause))) {
			return a
		}
	}
}

// holdDesk sends a request at each interval.
func (c *callers) holdDesk(ctx context.Context, d *desk) {
	first := time.Now().Add(rand.N(deskInterval))
	for intended := first; sleepUntil(ctx, intended); intended = intended.Add(deskInterval) {
		bounded, cancel := requestContext()
		id := c.nextID(classDesk)
		a := c.retryUntilRun(bounded, func() caller.Answer { return d.Sheet(bounded, id, deskBytes, 0) })
		cancel()
		d.keepKey(a.Key)
		c.recorder.finish(classDesk, intended, a)
	}
}

// readFeeds reads one feed after another.
func (c *callers) readFeeds(ctx context.Context, s *session) {
	defer s.close()
	for ctx.Err() == nil {
		intended := time.Now()
		bounded, cancel := requestContext()
		id := c.nextID(classFeed)
		a := c.retryUntilRun(bounded, func() caller.Answer { return s.Feed(bounded, id, feedLines, feedInterval) })
		cancel()
		c.recorder.finish(classFeed, intended, a)
		if a.Verdict != caller.Answered {
			sleepUntil(ctx, time.Now().Add(repeatPause))
		}
	}
}

// downloadSheet opens a flow, downloads a sheet, checks it, and closes the flow.
func (c *callers) downloadSheet(intended time.Time) {
	s, err := c.newSession()
	if err != nil {
		c.recorder.finish(classSheet, intended, caller.Answer{Verdict: caller.NotSent, Err: err})
		return
	}
	defer s.close()
	ctx, cancel := requestContext()
	defer cancel()
	id := c.nextID(classSheet)
	a := c.retryUntilRun(ctx, func() caller.Answer { return s.Sheet(ctx, id, sheetBytes, 0) })
	c.recorder.finish(classSheet, intended, a)
}

// bookByPhone makes a booking on a flow of its own.
func (c *callers) bookByPhone(intended time.Time) {
	s, err := c.newSession()
	if err != nil {
		c.recorder.finish(classBooking, intended, caller.Answer{Verdict: caller.NotSent, Err: err})
		return
	}
	defer s.close()
	c.book(s, intended, "")
}

// book makes a booking, repeated until its outcome is known or the caller gives
// up, and returns the key of the last answer.
func (c *callers) book(s *session, intended time.Time, key string) string {
	ctx, cancel := requestContext()
	defer cancel()
	b, step := newBooking(c.nextID(classBooking), key)
	var last caller.Answer
	for !step.done && sleepUntil(ctx, time.Now().Add(step.wait)) {
		last = s.Book(ctx, step.name, step.key, bookingWork)
		c.recorder.answer(last)
		step = b.answer(last)
	}
	c.recorder.finish(classBooking, intended, last)
	c.recorder.addBooking(b.attempts)
	return last.Key
}

// sleepUntil waits until t. It returns false if ctx ends first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
