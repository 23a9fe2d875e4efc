package ticket

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/standin/platform"
)

// submitStep is one submission by one submitter, with the error that it returned.
type submitStep struct {
	ticket Ticket
	wait   time.Duration
	err    error
}

// drawTicket draws a ticket that changes or removes some of three services.
func drawTicket(t *rapid.T, id string) Ticket {
	drawn := Ticket{ID: id, Submitter: "ayse"}
	for number := service.ID(1); number <= 3; number++ {
		switch rapid.IntRange(0, 9).Draw(t, "action") {
		case 0, 1, 3, 4:
			drawn.Services = append(drawn.Services, specOf(number, rapid.IntRange(1, 99).Draw(t, "slots")))
		case 2:
			drawn.Removed = append(drawn.Removed, specOf(number, 1).Name)
		}
	}
	if len(drawn.Services)+len(drawn.Removed) == 0 {
		drawn.Services = []service.Spec{specOf(1, 5)}
	}
	return drawn
}

// faultQueue injects the drawn faults, one per call, and no fault after the last.
type faultQueue struct {
	mu     sync.Mutex
	faults []platform.Fault
}

func (f *faultQueue) next(string) platform.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.faults) == 0 {
		return platform.None
	}
	fault := f.faults[0]
	f.faults = f.faults[1:]
	return fault
}

// TestRacingSubmittersUnderFaults runs several submitters concurrently against a
// store with faults. Afterwards the stored state must be consistent, and every
// submitter's result must agree with it.
func TestRacingSubmittersUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		submitters := rapid.IntRange(2, 4).Draw(rt, "submitters")
		lateBy := time.Duration(rapid.IntRange(1, 20_000).Draw(rt, "late by, ms")) * time.Millisecond
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) platform.Fault {
			return platform.Fault(rapid.IntRange(int(platform.None), int(platform.Stall)).Draw(t, "fault"))
		}), 0, 60).Draw(rt, "faults")
		runs := make([][]submitStep, submitters)
		for i := range runs {
			for j := range rapid.IntRange(1, 4).Draw(rt, "steps") {
				// Some IDs are shared between submitters, with different content.
				id := fmt.Sprintf("ticket-%d-%d", rapid.IntRange(0, i).Draw(rt, "owner"), j)
				wait := time.Duration(rapid.IntRange(0, 300).Draw(rt, "wait, ms")) * time.Millisecond
				runs[i] = append(runs[i], submitStep{ticket: drawTicket(rt, id), wait: wait})
			}
		}
		var problems []string
		synctest.Test(t, func(*testing.T) { problems = runSubmitters(runs, faults, lateBy) })
		if len(problems) > 0 {
			rt.Fatalf("%v", problems)
		}
	})
}

// runSubmitters runs the submitters concurrently and returns the problems found afterwards.
func runSubmitters(runs [][]submitStep, faults []platform.Fault, lateBy time.Duration) []string {
	p := platform.New(nil)
	list := &faultQueue{faults: faults}
	p.SetFaults(platform.Faults{LateBy: lateBy, Script: list.next})
	var group sync.WaitGroup
	for _, steps := range runs {
		group.Go(func() {
			submitter := newSubmitter(p)
			for i := range steps {
				time.Sleep(steps[i].wait)
				_, steps[i].err = submitter.Submit(context.Background(), steps[i].ticket)
			}
		})
	}
	group.Wait()
	p.SetFaults(platform.Faults{LateBy: lateBy})
	time.Sleep(settleTime)
	submitter := newSubmitter(p)
	problems := checkStore(submitter)
	submissions := make(map[string]int)
	for _, steps := range runs {
		for _, s := range steps {
			submissions[s.ticket.ID+s.ticket.Digest()]++
		}
	}
	for _, steps := range runs {
		for _, s := range steps {
			if problem := checkOutcome(submitter, s, submissions[s.ticket.ID+s.ticket.Digest()] == 1); problem != "" {
				problems = append(problems, problem)
			}
		}
	}
	return problems
}

// checkOutcome compares the result of a submission with the store. If the ticket
// was submitted more than once, one submission may be refused and another accepted.
func checkOutcome(submitter *Submitter, s submitStep, once bool) string {
	record, missing := History{Store: submitter.Store}.Show(context.Background(), s.ticket.ID)
	isAccepted := missing == nil && record.Digest == s.ticket.Digest()
	kind := errkind.Of(s.err)
	switch {
	case s.err == nil && !isAccepted:
		return fmt.Sprintf("ticket %s was accepted but is not in the store", s.ticket.ID)
	case s.err != nil && kind != errkind.Unknown && isAccepted && once:
		return fmt.Sprintf("ticket %s was refused as %s but is in the store", s.ticket.ID, kind)
	case s.err != nil && kind == "":
		return fmt.Sprintf("ticket %s has an untyped error: %v", s.ticket.ID, s.err)
	}
	return ""
}
