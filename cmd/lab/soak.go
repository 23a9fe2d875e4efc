package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/platform/soak"
)

// soakCmd injects random faults into real processes.
type soakCmd struct {
	Binary      string        `required:"" placeholder:"FILE" type:"existingfile" help:"The almondledge binary."`
	Dir         string        `required:"" placeholder:"DIR" help:"Folder for settings and logs, with a subfolder for each seed."`
	Seed        uint64        `default:"1" help:"First seed."`
	Seeds       int           `default:"1" help:"Number of seeds, run one after the other."`
	Faults      time.Duration `default:"20s" help:"How long faults are injected for each seed."`
	Balancers   int           `default:"3" help:"Number of balancers."`
	Agents      int           `default:"6" help:"Number of agents."`
	Callers     int           `default:"20" help:"Number of callers."`
	Failed      bool          `help:"Run the recorded seeds that once failed instead of a range."`
	PlannedOnly bool          `help:"Run only planned work of operators, without failures."`
	Quiet       bool          `help:"Print no line for each fault."`
}

// seeds returns the seeds to run.
func (c soakCmd) seeds() []uint64 {
	var seeds []uint64
	if c.Failed {
		for _, failed := range soak.FailedSeeds {
			seeds = append(seeds, failed.Seed)
		}
		return seeds
	}
	for i := range c.Seeds {
		seeds = append(seeds, c.Seed+uint64(i))
	}
	return seeds
}

// Run runs the seeds and returns an error if a guarantee was violated.
func (c soakCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	violations := 0
	for _, seed := range c.seeds() {
		dir := filepath.Join(c.Dir, fmt.Sprint(seed))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return err
		}
		var out io.Writer = os.Stdout
		if c.Quiet {
			out = io.Discard
		}
		result, err := soak.Run(ctx, soak.Config{
			Seed: seed, Binary: c.Binary, Dir: dir, Balancers: c.Balancers, Agents: c.Agents, Callers: c.Callers,
			Faults: c.Faults, PlannedOnly: c.PlannedOnly, Out: out,
		})
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: served %d, refused %d, unserved %d, after the recovery %.3f served, %d guarantees violated\n",
			seed, result.Served, result.Refused, result.Unserved, result.RecoveredShare, len(result.Violations))
		for _, violation := range result.Violations {
			fmt.Println("  ", violation)
		}
		violations += len(result.Violations)
	}
	if violations > 0 {
		return errkind.New(errkind.Conflict, fmt.Sprintf("%d guarantees violated", violations), "look at the logs below "+c.Dir+" with almondledge explain")
	}
	return nil
}
