package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/almondledge/almondledge/internal/lab/caller"
)

const (
	progressPeriod = time.Second
	// nameWidth and cellWidth are the widths of columns, in characters.
	nameWidth = 44
	cellWidth = 18
)

// printer writes progress and the report. It is safe for concurrent use.
type printer struct {
	began time.Time

	mu sync.Mutex // guards w
	w  io.Writer
}

// line writes one line.
func (p *printer) line(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = fmt.Fprintf(p.w, format+"\n", args...)
}

// event writes one line with the time since the start.
func (p *printer) event(format string, args ...any) {
	p.line("%5.1f s  %s", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
}

// reportProgress writes a line each second until ctx ends.
func (r *run) reportProgress(ctx context.Context) {
	for next := time.Now().Add(progressPeriod); sleepUntil(ctx, next); next = next.Add(progressPeriod) {
		var open, requests, broken, cut int
		for _, c := range r.callers {
			open += int(c.open.Load())
			served, flows, lost := c.recorder.totals()
			requests += served
			broken += flows
			cut += lost
		}
		r.out.event("  requests %5d   flows open %3d   flows broken %d   requests cut %d", requests, open, broken, cut)
	}
}

// report writes the tables.
func (p *printer) report(r *result, drain drainSpan) {
	p.line("")
	p.row("", services[0].name, services[1].name)
	for _, row := range rows(r, drain) {
		p.row(row[0], row[1:]...)
	}
	p.line("")
	for i, t := range r.tickets {
		p.line("ticket %d (%s): %s", i+1, t.what, t.describe())
	}
	p.line("new requests at %s later than %v after its drain: %d", r.drained, drainGrace, r.lateRequests)
	p.line("")
}

// row writes a name and one cell for each service.
func (p *printer) row(name string, cells ...string) {
	text := fmt.Sprintf("%-*s", nameWidth, name)
	for _, cell := range cells {
		text += fmt.Sprintf(" %*s", cellWidth, cell)
	}
	p.line("%s", text)
}

// samples writes the recorded samples of failures.
func (p *printer) samples(services []*serviceResult) {
	for _, s := range services {
		for _, sample := range s.samples {
			p.line("seen by a caller of %s at %s", s.name, sample)
		}
	}
}

// rows returns the rows of the table: a name and one cell for each service.
func rows(r *result, drain drainSpan) [][]string {
	var out [][]string
	add := func(name string, cell func(s *serviceResult) string) {
		row := []string{name}
		for _, s := range r.services {
			row = append(row, cell(s))
		}
		out = append(out, row)
	}
	number := func(name string, count func(s *serviceResult) int) {
		add(name, func(s *serviceResult) string { return fmt.Sprint(count(s)) })
	}
	number("requests", (*serviceResult).requests)
	number("flows opened", func(s *serviceResult) int { return s.flowsOpened })
	number("flows broken", func(s *serviceResult) int { return s.flowsBroken })
	number("flows moved by a planned stop", func(s *serviceResult) int { return s.flowsMoved })
	number("requests cut", (*serviceResult).cut)
	number("answers not whole or not one's own", func(s *serviceResult) int { return s.count(caller.Wrong) })
	number("reached the wrong service", func(s *serviceResult) int { return s.wrongService })
	number("told \"not run\" and sent again", func(s *serviceResult) int { return s.notRun })
	number("not served in the end", (*serviceResult).unserved)
	number("bookings confirmed", func(s *serviceResult) int { return s.bookings.confirmed })
	number("bookings repeated, outcome left open", func(s *serviceResult) int { return s.bookings.repeated })
	number("booked twice", func(s *serviceResult) int { return len(s.bookings.twice) })
	number("told \"not run\" that ran", func(s *serviceResult) int { return len(s.bookings.notRunThatRan) })
	number("bookings of unknown outcome", func(s *serviceResult) int { return s.count(caller.Unknown) })
	add("imbalance, busiest over mean, median s", func(s *serviceResult) string { return imbalanceCell(s, drain, false) })
	add("imbalance, busiest over mean, worst s", func(s *serviceResult) string { return imbalanceCell(s, drain, true) })
	for _, c := range classes {
		add(fmt.Sprintf("%s p50 / p99, ms", c), func(s *serviceResult) string {
			return latencyCell(s.classes[c], func(r *classResult) *hdrhistogram.Histogram { return r.latency })
		})
	}
	add(fmt.Sprintf("desk p50 / p99, without %v after the kill", killEffect), func(s *serviceResult) string {
		return latencyCell(s.classes[classDesk], func(r *classResult) *hdrhistogram.Histogram { return r.undisturbed })
	})
	return out
}

func imbalanceCell(s *serviceResult, drain drainSpan, worst bool) string {
	median, most := imbalance(s.windows, serverNames(s.name), drain)
	if worst {
		return fmt.Sprintf("%.2f", most)
	}
	return fmt.Sprintf("%.2f", median)
}

func latencyCell(r *classResult, pick func(*classResult) *hdrhistogram.Histogram) string {
	if r == nil || pick(r).TotalCount() == 0 {
		return "-"
	}
	millis := func(percent float64) float64 { return float64(pick(r).ValueAtPercentile(percent)) / 1000 }
	return fmt.Sprintf("%.1f / %.1f", millis(50), millis(99))
}
