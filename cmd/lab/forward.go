package main

import (
	"os"
	"time"

	"github.com/almondledge/almondledge/internal/lab/forward"
)

// forwardCmd compares the balancer's forwarding with a bare UDP relay.
type forwardCmd struct {
	Rounds  int           `help:"Measurements of the relay and of the balancer, which alternate." default:"5"`
	Span    time.Duration `help:"Length of one measurement." default:"1s"`
	Payload int           `help:"Size of the packets in bytes." default:"1200"`
	Senders int           `help:"Goroutines that send." default:"2"`
}

// Run measures and prints the comparison.
func (c forwardCmd) Run() error {
	report, err := forward.Run(forward.Config{
		Rounds: c.Rounds, Span: c.Span, PayloadBytes: c.Payload, Senders: c.Senders,
	})
	if err != nil {
		return err
	}
	return report.Print(os.Stdout)
}
