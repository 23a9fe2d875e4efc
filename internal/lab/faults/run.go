package faults

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/almondledge/almondledge/internal/lab/caller"
	"github.com/almondledge/almondledge/internal/lab/deploy"
	"github.com/almondledge/almondledge/internal/lab/load"
)

// IdleTimeout is the time without packets after which callers consider a flow
// broken. It is longer than any freeze.
const IdleTimeout = 8 * time.Second

const (
	// settleTime is the pause after cleanup; outcomes during the pause still count for the
	// step.
	settleTime = 3 * time.Second
	// baselineTime is the time without a fault at the start of the run.
	baselineTime = 3 * time.Second
	// maxPairOffset bounds the time between the injections of the two faults of a pair.
	maxPairOffset = time.Second
	// lateEffectTime is how long after cleanup effects of a fault may still appear:
	// flows of a killed process break only when IdleTimeout has expired.
	lateEffectTime = IdleTimeout + 4*time.Second
	// maxTicketLag is the time within which an accepted ticket must be active in all
	// processes.
	maxTicketLag         = 16 * time.Second
	revisionPollInterval = 200 * time.Millisecond
	// cleanupTimeout bounds the cleanup of a step and the wait for the last ticket after
	// the cleanup.
	cleanupTimeout = 90 * time.Second
)

// Config describes a fault run.
type Config struct {
	// Deployment is the running deployment.
	Deployment *deploy.Deployment
	// Load is the load during the run; its duration bounds the run.
	Load load.Config
	// Faults are injected one after another.
	Faults []Fault
	// Pairs is the number of random pairs of faults that follow.
	Pairs int
	// Seed determines the choice of processes and pairs.
	Seed uint64
	// Progress receives a line after each step. It may be nil.
	Progress func(line string)
}

// All returns all faults, in the order of injection.
func All() []Fault { return append(processFaults(), systemFaults()...) }

// Select returns the faults whose names contain any of the given parts, or all faults if
// parts is empty.
func Select(parts []string) []Fault {
	if len(parts) == 0 {
		return All()
	}
	var out []Fault
	for _, f := range All() {
		for _, part := range parts {
			if strings.Contains(f.Name, part) {
				out = append(out, f)
				break
			}
		}
	}
	return out
}

// Run injects the faults under load and returns the report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	session, err := load.Open(ctx, cfg.Load)
	if err != nil {
		return nil, err
	}
	driveCtx, stopDriving := context.WithCancel(ctx)
	driven := make(chan struct{})
	go func() {
		defer close(driven)
		session.Drive(driveCtx)
	}()
	report := &Report{Seed: cfg.Seed, Violations: []string{}}
	rng := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))
	r := &runner{cfg: cfg, session: session, rng: rng, report: report, useCount: make(map[*deploy.Process]int)}
	r.runStep(ctx, "calm", true, baselineTime, nil)
	for _, f := range cfg.Faults {
		r.runStep(ctx, f.Name, f.Planned, f.Duration, []Fault{f})
	}
	for range cfg.Pairs {
		a, b := cfg.Faults[rng.IntN(len(cfg.Faults))], cfg.Faults[rng.IntN(len(cfg.Faults))]
		r.runStep(ctx, a.Name+" + "+b.Name, a.Planned && b.Planned, max(a.Duration, b.Duration), []Fault{a, b})
	}
	stopDriving()
	<-driven
	report.Load, err = session.Finish(context.WithoutCancel(ctx))
	if err != nil {
		return nil, err
	}
	report.collectViolations()
	return report, ctx.Err()
}

// runner runs one step after another.
type runner struct {
	cfg     Config
	session *load.Session
	rng     *rand.Rand
	report  *Report
	// useCount counts how often each process was chosen.
	useCount map[*deploy.Process]int
	// previous is the last step, and previousEnd the time of its cleanup.
	previous    *step
	previousEnd time.Time
}

// runStep injects faults together, ends them after duration, and evaluates the counts.
func (r *runner) runStep(ctx context.Context, name string, planned bool, duration time.Duration, faults []Fault) {
	if ctx.Err() != nil {
		return
	}
	s := newStep(r.cfg.Deployment, r.rng, r.useCount)
	if r.previous != nil && time.Since(r.previousEnd) < lateEffectTime {
		s.inheritAllowed(r.previous)
	}
	before := r.session.Snapshot()
	start := time.Now()
	var err error
	for i, f := range faults {
		if i > 0 {
			pause(ctx, time.Duration(r.rng.Int64N(int64(maxPairOffset))))
		}
		if err = f.inject(ctx, s); err != nil {
			break
		}
	}
	pause(ctx, duration)
	problems := s.runChecks(ctx)
	// Cleanup also runs when the run is cancelled, so that no process stays frozen.
	cleanupCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	err = errors.Join(err, s.cleanUp(cleanupCtx))
	r.previous, r.previousEnd = s, time.Now()
	pause(ctx, settleTime)
	lag, lagging := r.awaitRevision(cleanupCtx)
	problems = append(problems, lagging...)
	counts := r.session.Snapshot().Since(before)
	result := evaluate(name, planned, s, counts)
	result.TicketLagMs = float64(lag) / float64(time.Millisecond)
	result.Seconds = time.Since(start).Seconds()
	result.Violations = append(result.Violations, problems...)
	if err != nil {
		result.Violations = append(result.Violations, err.Error())
	}
	r.report.Results = append(r.report.Results, result)
	if r.cfg.Progress != nil {
		r.cfg.Progress(result.progressLine())
	}
}

// awaitRevision waits until the last accepted ticket is active in every running process. It
// returns the duration of the wait and a message for each process that still lags,
// including a process that returned to an older state.
func (r *runner) awaitRevision(ctx context.Context) (time.Duration, []string) {
	accepted := r.cfg.Deployment.AcceptedRevision()
	start := time.Now()
	for {
		var lagging []string
		for name, revision := range r.cfg.Deployment.AppliedRevisions(ctx) {
			if revision < accepted {
				lagging = append(lagging, fmt.Sprintf("%s applied revision %d instead of %d", name, revision, accepted))
			}
		}
		lag := time.Since(start)
		if len(lagging) == 0 {
			return lag, nil
		}
		if lag > maxTicketLag || ctx.Err() != nil {
			slices.Sort(lagging)
			return lag, lagging
		}
		pause(ctx, revisionPollInterval)
	}
}

// evaluate compares the counts of a step with what the step allows.
func evaluate(name string, planned bool, s *step, counts load.Snapshot) Result {
	result := Result{
		Name:      name,
		Planned:   planned,
		Answered:  counts.Verdicts[caller.Answered],
		NotRun:    counts.Verdicts[caller.NotRun],
		NotSent:   counts.Verdicts[caller.NotSent],
		Unknown:   counts.Verdicts[caller.Unknown],
		TimedOut:  counts.Verdicts[caller.TimedOut],
		Failed:    counts.Verdicts[caller.Failed],
		Moved:     counts.Moved,
		Errors:    counts.Errors,
		SlowestMs: float64(counts.Slowest) / float64(time.Millisecond),
	}
	result.FlowsBroken, result.FlowsBrokenAllowed = s.splitAllowed(counts.BrokenBy)
	result.RequestsCut, result.RequestsCutAllowed = s.splitAllowed(counts.CutBy)
	add := func(n int, what string) {
		if n > 0 {
			result.Violations = append(result.Violations, fmt.Sprintf("%d %s", n, what))
		}
	}
	add(result.FlowsBroken, "flows broken")
	add(result.RequestsCut, "requests cut")
	add(counts.Verdicts[caller.Wrong], "answers wrong")
	if planned {
		add(result.TimedOut, "requests without an answer")
		add(result.Unknown, "requests of unknown outcome")
		add(result.NotSent, "flows not opened")
	}
	if result.Answered == 0 {
		result.Violations = append(result.Violations, "no request was answered")
	}
	return result
}

// splitAllowed adds the counts of the agents for which the step allows breaks to allowed,
// and all other counts to broken.
func (s *step) splitAllowed(by map[string]int) (broken, allowed int) {
	for agent, n := range by {
		if s.mayBreak[agent] || (agent == "" && s.newFlowsMayBreak) {
			allowed += n
		} else {
			broken += n
		}
	}
	return broken, allowed
}
