package logging

import (
	"sync"
	"time"

	"github.com/apex/log"
)

// maxEvents bounds the number of different messages that a RateLimitedLogger remembers.
const maxEvents = 256

// RateLimitedLogger logs each message at most once per interval, so that a flood of the
// same event, such as forged packets, cannot fill the log. A line that follows
// omitted ones carries their number as field "omitted".
type RateLimitedLogger struct {
	logger   log.Interface
	interval time.Duration

	mu     sync.Mutex
	events map[string]*eventCount
}

// eventCount is when a message was last logged, and how often it was omitted since.
type eventCount struct {
	logged  time.Time
	omitted uint64
}

// NewRateLimitedLogger returns a limiter in front of logger.
func NewRateLimitedLogger(logger log.Interface, interval time.Duration) *RateLimitedLogger {
	return &RateLimitedLogger{logger: logger, interval: interval, events: make(map[string]*eventCount)}
}

// Warn logs message with fields at level "warn", unless the same message was
// logged less than the interval before now.
func (l *RateLimitedLogger) Warn(now time.Time, message string, fields log.Fields) {
	omitted, ok := l.admit(now, message)
	if !ok {
		return
	}
	entry := l.logger.WithFields(fields)
	if omitted > 0 {
		entry = entry.WithField("omitted", omitted)
	}
	entry.Warn(message)
}

func (l *RateLimitedLogger) admit(now time.Time, message string) (omitted uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	event, known := l.events[message]
	if !known {
		if len(l.events) >= maxEvents {
			return 0, false
		}
		l.events[message] = &eventCount{logged: now}
		return 0, true
	}
	if now.Sub(event.logged) < l.interval {
		event.omitted++
		return 0, false
	}
	omitted = event.omitted
	*event = eventCount{logged: now}
	return omitted, true
}
