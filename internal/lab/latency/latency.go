// Package latency compares the time of a request through fabric, balancers and
// agent with that of a direct HTTP/3 call to the same backend server stand-in.
// Both are measured in turn, so that both see the same machine.
package latency

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"

	"github.com/almondledge/almondledge/internal/lab/caller"
	"github.com/almondledge/almondledge/internal/lab/deploy"
	"github.com/almondledge/almondledge/internal/lab/load"
	"github.com/almondledge/almondledge/internal/localfleet"
	"github.com/almondledge/almondledge/internal/standin/fabric"
)

const (
	packetSize = 1200
	// answerBytes is the size of an answer.
	answerBytes = 1000
	// warmUp is the number of requests on each way that are not counted.
	warmUp = 200
	// gap is the pause between two requests, so that they do not queue.
	gap = 2 * time.Millisecond
	// loopbackNetwork is the second number of the addresses, 127.63.x.y.
	loopbackNetwork = 63
	slots           = 5
	connections     = 2000
	// Bounds of the histograms, in microseconds.
	lowestMicros  = 1
	highestMicros = 60_000_000
	digits        = 3
)

// Config sets a comparison.
type Config struct {
	// Binary and Lab are the paths of the binaries.
	Binary, Lab string
	// Dir is an empty folder for settings and logs.
	Dir string
	// Requests is the number of requests on each way.
	Requests int
}

// Report holds the times of both ways.
type Report struct {
	Direct, Balanced *hdrhistogram.Histogram
}

// Print writes the percentiles of both ways and what is added.
func (r Report) Print(w io.Writer) error {
	for _, percentile := range []float64{50, 90, 99, 99.9} {
		direct, through := r.Direct.ValueAtPercentile(percentile), r.Balanced.ValueAtPercentile(percentile)
		_, err := fmt.Fprintf(w, "p%-5v direct %6d us   through %6d us   added %6d us\n", percentile, direct, through, through-direct)
		if err != nil {
			return err
		}
	}
	return nil
}

// Run measures both ways in turn.
func Run(ctx context.Context, config Config) (Report, error) {
	report := Report{Direct: newHistogram(), Balanced: newHistogram()}
	place := deploy.Place{
		Name: "latency", DataCentres: []string{"cesme"}, Balancers: 3, Network: loopbackNetwork,
		Services: []deploy.ServicePlan{{Name: "rezervasyon", ID: 1, Hosts: 1, Slots: slots, Connections: connections}},
	}
	deployment, err := deploy.Start(ctx, deploy.Config{Place: place, Binary: config.Binary, Lab: config.Lab, Dir: config.Dir, Seed: 1})
	if err != nil {
		return report, err
	}
	defer deployment.Stop()
	// The fabric's own delay belongs to neither way.
	if err := deployment.UpdateFabricKnobs(ctx, withoutDelay); err != nil {
		return report, err
	}
	direct, stop, err := openDirect(ctx)
	if err != nil {
		return report, err
	}
	defer stop()
	through, err := caller.NewFlow(caller.Config{
		Address: deployment.Targets(load.Mix{})[0].Address, ServerName: localfleet.CallerHost, TLS: deployment.TLS(),
	})
	if err != nil {
		return report, err
	}
	defer through.Close()
	for i := range config.Requests + warmUp {
		if err := sample(ctx, direct, report.Direct, i >= warmUp); err != nil {
			return report, err
		}
		if err := sample(ctx, through, report.Balanced, i >= warmUp); err != nil {
			return report, err
		}
	}
	return report, nil
}

// withoutDelay takes the delays from the fabric stand-in.
func withoutDelay(knobs *fabric.Knobs) {
	knobs.DelayMillis = nil
	knobs.JitterMillis = 0
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

// sample sends one request and notes its time.
func sample(ctx context.Context, flow *caller.Flow, times *hdrhistogram.Histogram, counts bool) error {
	start := time.Now()
	answer := flow.Sheet(ctx, "latency", answerBytes, 0)
	taken := time.Since(start)
	if answer.Verdict != caller.Answered {
		return fmt.Errorf("request ended as %s: %w", answer.Verdict, answer.Err)
	}
	time.Sleep(gap)
	if !counts {
		return nil
	}
	return times.RecordValue(taken.Microseconds())
}

// openDirect starts the direct server and a flow to it.
func openDirect(ctx context.Context) (*caller.Flow, func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	type endpoint struct {
		addr      netip.AddrPort
		authority string
	}
	ready := make(chan endpoint, 1)
	done := make(chan error, 1)
	listen := netip.MustParseAddrPort("127.0.0.1:0")
	go func() {
		done <- ServeDirect(ctx, listen, func(addr netip.AddrPort, authority string) { ready <- endpoint{addr, authority} })
	}()
	select {
	case err := <-done:
		cancel()
		return nil, nil, errors.Join(errors.New("direct server"), err)
	case end := <-ready:
		pool := x509.NewCertPool()
		pool.AppendCertsFromPEM([]byte(end.authority))
		flow, err := caller.NewFlow(caller.Config{Address: end.addr, ServerName: localfleet.CallerHost, TLS: &tls.Config{RootCAs: pool}})
		if err != nil {
			cancel()
			return nil, nil, err
		}
		return flow, func() {
			flow.Close()
			cancel()
			if err := <-done; err != nil {
				log.WithError(err).Warn("direct server failed")
			}
		}, nil
	}
}
