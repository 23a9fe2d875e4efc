package demo

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// revisionPoll is the period at which the active configurations are read.
const revisionPoll = 5 * time.Millisecond

// observedProcess is a process whose active configuration is watched.
type observedProcess struct {
	task     *task
	revision func() int64
}

// revisions watches the active revision of each process, and records each process that
// returns to an older one.
type revisions struct {
	processes []observedProcess

	mu      sync.Mutex // guards the fields below
	last    map[string]int64
	reverts []string
}

func newRevisions(processes []observedProcess) *revisions {
	return &revisions{processes: processes, last: make(map[string]int64)}
}

// watch polls all processes until ctx ends.
func (r *revisions) watch(ctx context.Context) {
	ticker := time.NewTicker(revisionPoll)
	defer ticker.Stop()
	for {
		r.poll()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// poll reads the active revision of each running process.
func (r *revisions) poll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.processes {
		if !p.task.running() {
			continue
		}
		now := p.revision()
		if before := r.last[p.task.name]; now < before {
			r.reverts = append(r.reverts, fmt.Sprintf("%s from revision %d to %d", p.task.name, before, now))
		}
		r.last[p.task.name] = now
	}
}

// lagging returns the number of running processes, and the names of the running
// processes at which a revision is not active yet.
func (r *revisions) lagging(revision int64) (running int, names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.processes {
		if !p.task.running() {
			continue
		}
		running++
		if r.last[p.task.name] < revision {
			names = append(names, p.task.name)
		}
	}
	return running, names
}

// reverted returns a description of each return to an older revision.
func (r *revisions) reverted() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.reverts...)
}

// await waits until a revision is active at every running process, for at most
// ticketBound after since.
func (r *revisions) await(ctx context.Context, what string, since time.Time, revision int64) ticketResult {
	ctx, cancel := context.WithDeadline(ctx, since.Add(ticketBound))
	defer cancel()
	for {
		processes, lagging := r.lagging(revision)
		done := len(lagging) == 0
		if done || !sleepUntil(ctx, time.Now().Add(revisionPoll)) {
			return ticketResult{what: what, processes: processes, lagging: lagging, after: time.Since(since)}
		}
	}
}
