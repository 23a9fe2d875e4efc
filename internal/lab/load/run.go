package load

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/almondledge/almondledge/internal/lab/caller"
	"github.com/almondledge/almondledge/internal/standin/backend"
)

const (
	// openRate is the number of long flows opened per second.
	openRate = 400
	// maxParallelOpens bounds the long flows that are being opened at the same time.
	maxParallelOpens = 64
	progressPeriod   = 2 * time.Second
)

// run is the state of a run in progress.
type run struct {
	cfg      Config
	targets  []*targetRun
	inFlight atomic.Int64
	work     sync.WaitGroup
}

// Session is a run whose long flows are open. Faults may be injected while Drive runs.
type Session struct {
	run    *run
	before []usage
	start  time.Time
}

// Open opens the long flows of all targets.
func Open(ctx context.Context, cfg Config) (*Session, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	r := &run{cfg: cfg}
	start := time.Now()
	for i, t := range cfg.Targets {
		r.targets = append(r.targets, newTargetRun(r, t, uint64(i), start))
	}
	var opening sync.WaitGroup
	for _, t := range r.targets {
		opening.Go(func() { t.openFlows(ctx) })
	}
	opening.Wait()
	return &Session{run: r, before: scrapeAll(ctx, cfg.Metrics)}, ctx.Err()
}

// Drive sends requests for the configured duration and returns after all of them
// have ended. If ctx ends first, Drive starts no further requests.
func (s *Session) Drive(ctx context.Context) {
	s.start = time.Now()
	ctx, stop := context.WithTimeout(ctx, s.run.cfg.Duration)
	defer stop()
	done := make(chan struct{})
	var reporting sync.WaitGroup
	reporting.Go(func() { s.reportProgress(done) })
	for _, t := range s.run.targets {
		t.startCallers(ctx, s.start)
	}
	s.run.work.Wait()
	close(done)
	reporting.Wait()
}

// Finish closes all flows and returns the report.
func (s *Session) Finish(ctx context.Context) (*Report, error) {
	report := &Report{
		Started:    s.start,
		Seconds:    s.run.cfg.Duration.Seconds(),
		Seed:       s.run.cfg.Seed,
		Violations: []string{},
		Roles:      roleUsages(s.run.cfg.Metrics, s.before, scrapeAll(ctx, s.run.cfg.Metrics)),
	}
	var all []backend.Run
	for _, path := range s.run.cfg.Ledgers {
		runs, err := backend.ReadLedger(path)
		if err != nil {
			return nil, err
		}
		all = append(all, runs...)
	}
	counts := backend.CountRuns(all)
	for _, t := range s.run.targets {
		result := t.recorder.report(t.target, t.flowsPerAgent(), t.opened, t.notOpened, counts)
		report.Targets = append(report.Targets, result)
		report.Violations = append(report.Violations, result.violations()...)
		t.closeFlows()
	}
	return report, nil
}

// Run calls Open, Drive and Finish.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	s, err := Open(ctx, cfg)
	if err != nil {
		return nil, err
	}
	s.Drive(ctx)
	return s.Finish(ctx)
}

func (s *Session) reportProgress(done <-chan struct{}) {
	if s.run.cfg.Progress == nil {
		return
	}
	ticker := time.NewTicker(progressPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.run.cfg.Progress(s.progressLine())
		case <-done:
			return
		}
	}
}

func (s *Session) progressLine() string {
	line := fmt.Sprintf("%4.0fs", time.Since(s.start).Seconds())
	for _, t := range s.run.targets {
		answered, others, broken := t.recorder.totals()
		line += fmt.Sprintf("  %s answered=%d others=%d broken=%d", t.target.Name, answered, others, broken)
	}
	return line
}

// startRequest runs fn in the background, or counts it as skipped if maxInFlight
// requests are in flight.
func (r *run) startRequest(rec *recorder, fn func()) {
	if r.inFlight.Add(1) > maxInFlight {
		r.inFlight.Add(-1)
		rec.recordSkipped()
		return
	}
	r.work.Go(func() {
		defer r.inFlight.Add(-1)
		fn()
	})
}

// flowConfig returns the configuration of flows to target t.
func (r *run) flowConfig(t Target, rec *recorder) caller.Config {
	return caller.Config{
		Address:     t.Address,
		ServerName:  t.ServerName,
		TLS:         r.cfg.TLS,
		IdleTimeout: r.cfg.IdleTimeout,
		OnEnd:       rec.recordEnd,
	}
}
