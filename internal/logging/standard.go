package logging

import (
	stdlog "log"
	"strings"
	"time"

	"github.com/apex/log"
)

// standardInterval is the shortest time between two lines of one standard logger.
const standardInterval = 10 * time.Second

// NewStandardLogger returns a logger of the standard library for servers of
// package net/http. Each line from the server is logged as an event with the
// given message and the line as field "error". At most one line is logged every
// ten seconds, because peers can cause any number of lines.
func NewStandardLogger(logger log.Interface, message string) *stdlog.Logger {
	return stdlog.New(&standardWriter{limited: NewRateLimitedLogger(logger, standardInterval), message: message}, "", 0)
}

// standardWriter logs each line that is written to it as an event.
type standardWriter struct {
	limited *RateLimitedLogger
	message string
}

// Write logs one line.
func (w *standardWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	w.limited.Warn(time.Now(), w.message, log.Fields{"error": text})
	return len(line), nil
}
