// Package logring makes logging non-blocking: lines go into a bounded buffer, and one goroutine
// writes them out. When the output stalls and the buffer is full, lines are dropped and counted.
package logring

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// capacity is the number of lines that the buffer holds.
const capacity = 2048

// reservedForEvents is the part of the buffer that lines about ordinary decisions, which are
// sampled, must leave free for other lines.
const reservedForEvents = capacity / 4

// Writer is an io.Writer that never blocks. Each call of Write must pass one line.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	// closing is closed to stop the goroutine, which then closes done.
	closing, done chan struct{}
	once          sync.Once
}

// New returns a writer whose goroutine writes the lines to w until Close.
func New(w io.Writer) *Writer {
	r := &Writer{lines: make(chan []byte, capacity), closing: make(chan struct{}), done: make(chan struct{})}
	go r.run(w)
	return r
}

func (r *Writer) run(w io.Writer) {
	defer close(r.done)
	var reported uint64
	for {
		line, ok := r.next()
		if !ok {
			return
		}
		if _, err := w.Write(line); err != nil {
			r.dropped.Add(1)
			continue
		}
		if dropped := r.dropped.Load(); dropped != reported {
			// An error here is ignored: the next line fails, too, and is counted.
			_, _ = fmt.Fprintf(w, "level=warn message=\"log lines dropped\" dropped=%d\n", dropped-reported)
			reported = dropped
		}
	}
}

// next returns the next line, or false when the writer is closing and the buffer is empty.
func (r *Writer) next() ([]byte, bool) {
	select {
	case line := <-r.lines:
		return line, true
	default:
	}
	select {
	case line := <-r.lines:
		return line, true
	case <-r.closing:
	}
	// A line may have come in together with the end.
	select {
	case line := <-r.lines:
		return line, true
	default:
		return nil, false
	}
}

// Write queues a copy of line, or drops it when the buffer is full.
func (r *Writer) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// HasRoom reports whether a line about an ordinary decision may be logged now (see
// reservedForEvents).
func (r *Writer) HasRoom() bool { return len(r.lines) < capacity-reservedForEvents }

// Dropped returns the number of lines dropped so far.
func (r *Writer) Dropped() uint64 { return r.dropped.Load() }

// Close writes the buffered lines, and returns after limit at the latest. Lines written after Close are lost.
func (r *Writer) Close(limit time.Duration) {
	r.once.Do(func() { close(r.closing) })
	select {
	case <-r.done:
	case <-time.After(limit):
	}
}
