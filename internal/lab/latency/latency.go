// Package latency compares the time of a request through the fabric, a balancer and an
// agent with that of a direct HTTP/3 request to the same backend server stand-in. Requests
// alternate between both paths, so that both are measured under the same load of the
// machine.
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
	// warmUpRequests is the number of requests on each path that are not recorded.
	warmUpRequests = 200
	// requestPause is the pause between two requests, so that they do not queue.
	requestPause = 2 * time.Millisecond
	// loopbackNetwork is the second octet of the loopback addresses, 127.63.x.y.
	loopbackNetwork = 63
	slots           = 5
	connections     = 2000
	// Bounds of the histograms, in microseconds.
	lowestMicros      = 1
	highestMicros     = 60_000_000
	significantDigits = 3
)

// Config configures a comparison.
type Config struct {
	// Binary and Lab are the paths of the almondledge and lab binaries.
	Binary, Lab string
	// Dir is an empty folder for settings and logs.
	Dir string
	// Requests is the number of requests on each path.
	Requests int
}

// Report holds the request times of the direct path and of the path through the load
// balancer.
type Report struct {
	Direct, Balanced *hdrhistogram.Histogram
}

// Print writes the percentiles of both paths and their difference.
func (r Report) Print(w io.Writer) error {
	for _, percentile := range []float64{50, 90, 99, 99.9} {
		direct, balanced := r.Direct.ValueAtPercentile(percentile), r.Balanced.ValueAtPercentile(percentile)
		_, err := fmt.Fprintf(w, "p%-5v direct %6d us   through %6d us   added %6d us\n", percentile, direct, balanced, balanced-direct)
		if err != nil {
			return err
		}
	}
	return nil
}

// Run sends requests alternately on both paths and returns their times.
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
	// The delay that the fabric stand-in simulates would slow only the path through the
	// load balancer.
	if err := deployment.UpdateFabricKnobs(ctx, removeDelay); err != nil {
		return report, err
	}
	direct, stop, err := openDirect(ctx)
	if err != nil {
		return report, err
	}
	defer stop()
	balanced, err := caller.NewFlow(caller.Config{
		Address: deployment.Targets(load.Mix{})[0].Address, ServerName: localfleet.CallerHost, TLS: deployment.TLS(),
	})
	if err != nil {
		return report, err
	}
	defer balanced.Close()
	for i := range config.Requests + warmUpRequests {
		if err := timeRequest(ctx, direct, report.Direct, i >= warmUpRequests); err != nil {
			return report, err
		}
		if err := timeRequest(ctx, balanced, report.Balanced, i >= warmUpRequests); err != nil {
			return report, err
		}
	}
	return report, nil
}

// removeDelay sets the delays of the fabric stand-in to zero.
func removeDelay(knobs *fabric.Knobs) {
	knobs.DelayMillis = nil
	knobs.JitterMillis = 0
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

// timeRequest sends one request and records its time in times if record is set.
func timeRequest(ctx context.Context, flow *caller.Flow, times *hdrhistogram.Histogram, record bool) error {
	start := time.Now()
	answer := flow.Sheet(ctx, "latency", answerBytes, 0)
	elapsed := time.Since(start)
	if answer.Verdict != caller.Answered {
		return fmt.Errorf("request ended as %s: %w", answer.Verdict, answer.Err)
	}
	time.Sleep(requestPause)
	if !record {
		return nil
	}
	return times.RecordValue(elapsed.Microseconds())
}

// openDirect starts the direct server and opens a flow to it. The returned function closes
// both.
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
		return nil, nil, errors.Join(errors.New("direct server did not start"), err)
	case server := <-ready:
		pool := x509.NewCertPool()
		pool.AppendCertsFromPEM([]byte(server.authority))
		flow, err := caller.NewFlow(caller.Config{Address: server.addr, ServerName: localfleet.CallerHost, TLS: &tls.Config{RootCAs: pool}})
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
