// Package flowcost measures what open flows, new flows and requests cost the
// processes: one agent and two balancers run as processes of their own, and the
// slopes over the number of flows are what the capacity page is worked out from.
package flowcost

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/almondledge/almondledge/internal/lab/caller"
	"github.com/almondledge/almondledge/internal/lab/deploy"
	"github.com/almondledge/almondledge/internal/lab/load"
	"github.com/almondledge/almondledge/internal/localfleet"
)

const (
	// settleTime lets memory settle after flows were opened.
	settleTime = 5 * time.Second
	// holdTime is how long open flows are watched.
	holdTime = 10 * time.Second
	// keepAlive is the period of the callers' keep-alive packets.
	keepAlive = 15 * time.Second
	// openers is the number of flows that are opened at a time.
	openers = 16
	// answerBytes is the size of an answer.
	answerBytes = 1000
	// requestWorkers is the number of requests under way at a time.
	requestWorkers = 5
	// loopbackNetwork is the second number of the addresses, 127.61.x.y.
	loopbackNetwork = 61
	slots           = 16
	connections     = 100_000
)

// Config sets a measurement.
type Config struct {
	// Binary and Lab are the paths of the binaries.
	Binary, Lab string
	// Dir is an empty folder for settings and logs.
	Dir string
	// Flows are the numbers of open flows to measure at, ascending.
	Flows []int
	// Requests is the number of requests to measure with.
	Requests int
}

// Point is what one number of open flows costs.
type Point struct {
	Flows int `json:"flows"`
	// OpenSeconds is the processor time for opening the flows since the point before.
	AgentOpenSeconds    float64 `json:"agentOpenSeconds"`
	BalancerOpenSeconds float64 `json:"balancerOpenSeconds"`
	// HoldShare is the share of a core while the flows are only kept open.
	AgentHoldShare    float64 `json:"agentHoldShare"`
	BalancerHoldShare float64 `json:"balancerHoldShare"`
	// Memory is the resident memory.
	AgentMemoryBytes    float64 `json:"agentMemoryBytes"`
	BalancerMemoryBytes float64 `json:"balancerMemoryBytes"`
}

// Report holds all points and the cost of requests.
type Report struct {
	Points []Point `json:"points"`
	// Requests were answered on the open flows.
	Requests               int     `json:"requests"`
	AgentRequestSeconds    float64 `json:"agentRequestSeconds"`
	BalancerRequestSeconds float64 `json:"balancerRequestSeconds"`
}

// bench is a running measurement.
type bench struct {
	config     Config
	deployment *deploy.Deployment
	target     load.Target
	flows      []*caller.Flow
}

// Run measures all points and prints progress to w.
func Run(ctx context.Context, config Config, w io.Writer) (Report, error) {
	place := deploy.Place{
		Name: "flowcost", DataCentres: []string{"cesme"}, Balancers: 2, Network: loopbackNetwork,
		Services: []deploy.ServicePlan{{Name: "rezervasyon", ID: 1, Hosts: 1, Slots: slots, Connections: connections}},
	}
	deployment, err := deploy.Start(ctx, deploy.Config{Place: place, Binary: config.Binary, Lab: config.Lab, Dir: config.Dir, Seed: 1})
	if err != nil {
		return Report{}, err
	}
	defer deployment.Stop()
	b := &bench{config: config, deployment: deployment, target: deployment.Targets(load.Mix{})[0]}
	defer b.closeFlows()
	var report Report
	for _, count := range config.Flows {
		point, err := b.measure(ctx, count)
		if err != nil {
			return report, err
		}
		report.Points = append(report.Points, point)
		if _, err := fmt.Fprintf(w, "%+v\n", point); err != nil {
			return report, err
		}
	}
	return report, b.measureRequests(ctx, &report)
}

// reading is what the roles have used: the agent, and both balancers together.
type reading struct{ agent, balancers load.ResourceUsage }

func (b *bench) read(ctx context.Context) (reading, error) {
	var r reading
	for _, source := range b.deployment.MetricsSources() {
		one, ok := load.ReadUsage(ctx, source)
		if !ok {
			return r, errors.New("no metrics from " + source.URL)
		}
		if source.Role == "agent" {
			r.agent = one
			continue
		}
		r.balancers.At = one.At
		r.balancers.CPUSeconds += one.CPUSeconds
		r.balancers.MemoryBytes += one.MemoryBytes
	}
	return r, nil
}

// measure opens flows until there are count, and watches them.
func (b *bench) measure(ctx context.Context, count int) (Point, error) {
	before, err := b.read(ctx)
	if err != nil {
		return Point{}, err
	}
	if err := b.open(ctx, count-len(b.flows)); err != nil {
		return Point{}, err
	}
	opened, err := b.read(ctx)
	if err != nil {
		return Point{}, err
	}
	time.Sleep(settleTime)
	settled, err := b.read(ctx)
	if err != nil {
		return Point{}, err
	}
	time.Sleep(holdTime)
	held, err := b.read(ctx)
	if err != nil {
		return Point{}, err
	}
	return Point{
		Flows:               count,
		AgentOpenSeconds:    opened.agent.CPUSeconds - before.agent.CPUSeconds,
		BalancerOpenSeconds: opened.balancers.CPUSeconds - before.balancers.CPUSeconds,
		AgentHoldShare:      share(settled.agent, held.agent),
		BalancerHoldShare:   share(settled.balancers, held.balancers),
		AgentMemoryBytes:    held.agent.MemoryBytes,
		BalancerMemoryBytes: held.balancers.MemoryBytes,
	}, nil
}

func share(from, to load.ResourceUsage) float64 {
	return (to.CPUSeconds - from.CPUSeconds) / to.At.Sub(from.At).Seconds()
}

// open opens count flows and sees one request answered on each.
func (b *bench) open(ctx context.Context, count int) error {
	fresh := make([]*caller.Flow, count)
	var group errgroup.Group
	group.SetLimit(openers)
	for i := range fresh {
		group.Go(func() error {
			flow, err := caller.NewFlow(caller.Config{
				Address: b.address(), ServerName: localfleet.CallerHost, TLS: b.deployment.TLS(), KeepAlive: keepAlive,
			})
			if err != nil {
				return err
			}
			fresh[i] = flow
			return b.request(ctx, flow)
		})
	}
	err := group.Wait()
	b.flows = append(b.flows, slices.DeleteFunc(fresh, func(f *caller.Flow) bool { return f == nil })...)
	return err
}

func (b *bench) address() netip.AddrPort { return b.target.Address }

func (b *bench) request(ctx context.Context, flow *caller.Flow) error {
	answer := flow.Sheet(ctx, "cost", answerBytes, 0)
	if answer.Verdict != caller.Answered {
		return fmt.Errorf("request ended as %s: %w", answer.Verdict, answer.Err)
	}
	return nil
}

// measureRequests sends requests over the open flows.
func (b *bench) measureRequests(ctx context.Context, report *Report) error {
	before, err := b.read(ctx)
	if err != nil {
		return err
	}
	var group errgroup.Group
	group.SetLimit(requestWorkers)
	for i := range b.config.Requests {
		group.Go(func() error { return b.request(ctx, b.flows[i%len(b.flows)]) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	after, err := b.read(ctx)
	report.Requests = b.config.Requests
	report.AgentRequestSeconds = after.agent.CPUSeconds - before.agent.CPUSeconds
	report.BalancerRequestSeconds = after.balancers.CPUSeconds - before.balancers.CPUSeconds
	return err
}

func (b *bench) closeFlows() {
	for _, flow := range b.flows {
		flow.Close()
	}
}
