package logging

import (
	"sync"
	"time"

	"github.com/apex/log"
)

// maxEvents is the largest number of different messages that a RateLimitedLogger
// logs. Further messages are dropped.
const maxEvents = 256

// RateLimitedLogger logs each message at most once per interval, so that many events of the same kind, such as forged
// packets, cannot fill the log. The field "omitted" of a line is the number of lines with the same message that were
// omitted before it.
type RateLimitedLogger struct {
	logger   log.Interface
	interval time.Duration

	mu     sync.Mutex
	events map[string]*eventCount
}

// eventCount holds the time at which a message was last logged, and how often it
// was omitted since that time.
type eventCount struct {
	logged  time.Time
	omitted uint64
}

// NewRateLimitedLogger returns a RateLimitedLogger that writes to logger.
func NewRateLimitedLogger(logger log.Interface, interval time.Duration) *RateLimitedLogger {
	return &RateLimitedLogger{logger: logger, interval: interval, events: make(map[string]*eventCount)}
}

// Warn logs message with fields at level "warn", unless the same message was logged less than one interval before now.
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

// admit reports whether a message may be logged now, and how often it was omitted before.
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
