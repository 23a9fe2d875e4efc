// Package flowcost measures what open flows, new flows and requests cost an agent and two
// balancers, each of which runs as a process of its own. Capacity planning uses the slopes
// over the number of flows.
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
	// settleTime is the pause after flows were opened, in which memory use settles.
	settleTime = 5 * time.Second
	// holdTime is how long the cost of open flows without requests is measured.
	holdTime = 10 * time.Second
	// keepAlivePeriod is the period of the callers' keep-alive packets.
	keepAlivePeriod = 15 * time.Second
	// openConcurrency is the number of flows that are opened concurrently.
	openConcurrency = 16
	// answerBytes is the size of an answer.
	answerBytes = 1000
	// requestConcurrency is the number of concurrent requests.
	requestConcurrency = 5
	// loopbackNetwork is the second octet of the loopback addresses, 127.61.x.y.
	loopbackNetwork = 61
	slots           = 16
	connections     = 100_000
)

// Config configures a measurement.
type Config struct {
	// Binary and Lab are the paths of the almondledge and lab binaries.
	Binary, Lab string
	// Dir is an empty folder for settings and logs.
	Dir string
	// Flows lists the numbers of open flows to measure at, in ascending order.
	Flows []int
	// Requests is the number of requests sent to measure their cost.
	Requests int
}

// Point holds the costs at one number of open flows.
type Point struct {
	Flows int `json:"flows"`
	// AgentOpenSeconds and BalancerOpenSeconds are the CPU times spent on opening the flows
	// since the previous point. The balancer figures of a point are totals of both
	// balancers.
	AgentOpenSeconds    float64 `json:"agentOpenSeconds"`
	BalancerOpenSeconds float64 `json:"balancerOpenSeconds"`
	// AgentHoldShare and BalancerHoldShare are the shares of a core used while the flows
	// carry only keep-alive packets.
	AgentHoldShare    float64 `json:"agentHoldShare"`
	BalancerHoldShare float64 `json:"balancerHoldShare"`
	// AgentMemoryBytes and BalancerMemoryBytes are resident memory.
	AgentMemoryBytes    float64 `json:"agentMemoryBytes"`
	BalancerMemoryBytes float64 `json:"balancerMemoryBytes"`
}

// Report holds all points and the cost of requests.
type Report struct {
	Points []Point `json:"points"`
	// Requests is the number of requests sent on the open flows. AgentRequestSeconds and
	// BalancerRequestSeconds are the CPU times that they took.
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

// Run measures all points, prints each to w, and then measures requests.
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

// processUsage holds the resource usage of the agent and that of both balancers together.
type processUsage struct{ agent, balancers load.ResourceUsage }

func (b *bench) readUsage(ctx context.Context) (processUsage, error) {
	var r processUsage
	for _, source := range b.deployment.MetricsSources() {
		usage, ok := load.ReadUsage(ctx, source)
		if !ok {
			return r, errors.New("no metrics from " + source.URL)
		}
		if source.Role == "agent" {
			r.agent = usage
			continue
		}
		r.balancers.At = usage.At
		r.balancers.CPUSeconds += usage.CPUSeconds
		r.balancers.MemoryBytes += usage.MemoryBytes
	}
	return r, nil
}

// measure opens flows until count flows are open, and measures the cost of opening and
// holding them.
func (b *bench) measure(ctx context.Context, count int) (Point, error) {
	before, err := b.readUsage(ctx)
	if err != nil {
		return Point{}, err
	}
	if err := b.open(ctx, count-len(b.flows)); err != nil {
		return Point{}, err
	}
	opened, err := b.readUsage(ctx)
	if err != nil {
		return Point{}, err
	}
	time.Sleep(settleTime)
	settled, err := b.readUsage(ctx)
	if err != nil {
		return Point{}, err
	}
	time.Sleep(holdTime)
	held, err := b.readUsage(ctx)
	if err != nil {
		return Point{}, err
	}
	return Point{
		Flows:               count,
		AgentOpenSeconds:    opened.agent.CPUSeconds - before.agent.CPUSeconds,
		BalancerOpenSeconds: opened.balancers.CPUSeconds - before.balancers.CPUSeconds,
		AgentHoldShare:      coreShare(settled.agent, held.agent),
		BalancerHoldShare:   coreShare(settled.balancers, held.balancers),
		AgentMemoryBytes:    held.agent.MemoryBytes,
		BalancerMemoryBytes: held.balancers.MemoryBytes,
	}, nil
}

func coreShare(from, to load.ResourceUsage) float64 {
	return (to.CPUSeconds - from.CPUSeconds) / to.At.Sub(from.At).Seconds()
}

// open opens count flows and sends one request on each.
func (b *bench) open(ctx context.Context, count int) error {
	newFlows := make([]*caller.Flow, count)
	var group errgroup.Group
	group.SetLimit(openConcurrency)
	for i := range newFlows {
		group.Go(func() error {
			flow, err := caller.NewFlow(caller.Config{
				Address: b.address(), ServerName: localfleet.CallerHost, TLS: b.deployment.TLS(), KeepAlive: keepAlivePeriod,
			})
			if err != nil {
				return err
			}
			newFlows[i] = flow
			return b.request(ctx, flow)
		})
	}
	err := group.Wait()
	b.flows = append(b.flows, slices.DeleteFunc(newFlows, func(f *caller.Flow) bool { return f == nil })...)
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

// measureRequests sends requests on the open flows and adds their cost to report.
func (b *bench) measureRequests(ctx context.Context, report *Report) error {
	before, err := b.readUsage(ctx)
	if err != nil {
		return err
	}
	var group errgroup.Group
	group.SetLimit(requestConcurrency)
	for i := range b.config.Requests {
		group.Go(func() error { return b.request(ctx, b.flows[i%len(b.flows)]) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	after, err := b.readUsage(ctx)
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
