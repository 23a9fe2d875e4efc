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

// IdleTimeout is the time after which callers take a silent flow for broken. It
// is longer than any freeze.
const IdleTimeout = 8 * time.Second

const (
	// settleTime is the time after a fault in which its consequences are counted.
	settleTime = 3 * time.Second
	// calmTime is the time without a fault at the beginning.
	calmTime = 3 * time.Second
	// largestOffset is the largest time between the two faults of a pair.
	largestOffset = time.Second
	// afterTime is how long after a fault its consequences may still show: flows
	// of a killed process break when they have been silent for the idle timeout.
	afterTime = IdleTimeout + 4*time.Second
	// ticketLimit is the time within which an accepted ticket must be in force everywhere.
	ticketLimit  = 16 * time.Second
	revisionPoll = 200 * time.Millisecond
	// endTimeout bounds the steps that end a fault.
	endTimeout = 90 * time.Second
)

// Config says what a run brings about.
type Config struct {
	// Deployment is the running deployment.
	Deployment *deploy.Deployment
	// Load is the load that is held meanwhile; its duration bounds the run.
	Load load.Config
	// Faults are brought about one after another.
	Faults []Fault
	// Pairs is the number of seeded pairs that follow.
	Pairs int
	// Seed fixes the choice of processes and pairs.
	Seed uint64
	// Progress gets a line for each fault. It may be nil.
	Progress func(line string)
}

// All returns all faults.
func All() []Fault { return append(processFaults(), systemFaults()...) }

// Select returns the faults whose names contain one of the given parts; no part selects all.
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

// Run holds load and brings about the faults.
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
	r := &runner{cfg: cfg, session: session, rng: rng, report: report, used: make(map[*deploy.Process]int)}
	r.step(ctx, "calm", true, calmTime, nil)
	for _, f := range cfg.Faults {
		r.step(ctx, f.Name, f.Planned, f.Duration, []Fault{f})
	}
	for range cfg.Pairs {
		a, b := cfg.Faults[rng.IntN(len(cfg.Faults))], cfg.Faults[rng.IntN(len(cfg.Faults))]
		r.step(ctx, a.Name+" + "+b.Name, a.Planned && b.Planned, max(a.Duration, b.Duration), []Fault{a, b})
	}
	stopDriving()
	<-driven
	report.Load, err = session.Finish(context.WithoutCancel(ctx))
	if err != nil {
		return nil, err
	}
	report.finish()
	return report, ctx.Err()
}

// runner brings about one fault after another.
type runner struct {
	cfg     Config
	session *load.Session
	rng     *rand.Rand
	report  *Report
	// used counts how often each process was chosen.
	used map[*deploy.Process]int
	// before is the last scene and when it ended.
	before   *scene
	beforeAt time.Time
}

// step brings about faults together, ends them, and judges what was counted.
func (r *runner) step(ctx context.Context, name string, planned bool, hold time.Duration, faults []Fault) {
	if ctx.Err() != nil {
		return
	}
	s := newScene(r.cfg.Deployment, r.rng, r.used)
	if r.before != nil && time.Since(r.beforeAt) < afterTime {
		s.inherit(r.before)
	}
	before := r.session.Snapshot()
	start := time.Now()
	var err error
	for i, f := range faults {
		if i > 0 {
			pause(ctx, time.Duration(r.rng.Int64N(int64(largestOffset))))
		}
		if err = f.begin(ctx, s); err != nil {
			break
		}
	}
	pause(ctx, hold)
	wrong := s.runChecks(ctx)
	// The end steps run also when the run is being stopped, so that no process stays frozen.
	endCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	err = errors.Join(err, s.end(endCtx))
	r.before, r.beforeAt = s, time.Now()
	pause(ctx, settleTime)
	lag, behind := r.awaitRevision(endCtx)
	wrong = append(wrong, behind...)
	counts := r.session.Snapshot().Since(before)
	result := judge(name, planned, s, counts)
	result.TicketLagMs = float64(lag) / float64(time.Millisecond)
	result.Seconds = time.Since(start).Seconds()
	result.Violations = append(result.Violations, wrong...)
	if err != nil {
		result.Violations = append(result.Violations, err.Error())
	}
	r.report.Results = append(r.report.Results, result)
	if r.cfg.Progress != nil {
		r.cfg.Progress(result.line())
	}
}

// awaitRevision waits until the last accepted ticket is in force at every
// process that runs, and returns how long that took after the fault. A process
// that went back to an older state shows here too.
func (r *runner) awaitRevision(ctx context.Context) (time.Duration, []string) {
	accepted := r.cfg.Deployment.AcceptedRevision()
	start := time.Now()
	for {
		var behind []string
		for name, revision := range r.cfg.Deployment.AppliedRevisions(ctx) {
			if revision < accepted {
				behind = append(behind, fmt.Sprintf("%s has revision %d in force and not %d", name, revision, accepted))
			}
		}
		lag := time.Since(start)
		if len(behind) == 0 {
			return lag, nil
		}
		if lag > ticketLimit || ctx.Err() != nil {
			slices.Sort(behind)
			return lag, behind
		}
		pause(ctx, revisionPoll)
	}
}

// judge compares what was counted during a fault with what the fault allows.
func judge(name string, planned bool, s *scene, counts load.Snapshot) Result {
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
	result.FlowsBroken, result.FlowsBrokenAllowed = s.split(counts.BrokenBy)
	result.RequestsCut, result.RequestsCutAllowed = s.split(counts.CutBy)
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

// split counts what the scene does not allow and what it does.
func (s *scene) split(by map[string]int) (broken, allowed int) {
	for agent, n := range by {
		if s.mayBreak[agent] || (agent == "" && s.newFlowsMayBreak) {
			allowed += n
		} else {
			broken += n
		}
	}
	return broken, allowed
}
