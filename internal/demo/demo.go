// Package demo runs a small deployment of almondledge in one process, on loopback
// sockets: the stand-ins of the platform, balancers, agents and backend servers.
// Callers send requests while one backend server is taken out of service, a balancer
// is killed and limits change. Then the demo reports the answers that the callers
// received, and whether a promise to them was broken.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
)

// Options are the settings of the demo from the command line.
type Options struct {
	// Port is the first of the ports that are used on each address. Zero tries
	// several port ranges.
	Port uint16
	// Out receives progress and the report.
	Out io.Writer
	// Logs receives the logs of the processes. Nil discards them.
	Logs io.Writer
}

// Run runs the demo and returns an error if a promise was broken or the demo could not
// be completed.
func Run(ctx context.Context, options Options) error {
	began := time.Now()
	out := &printer{w: options.Out, began: began}
	d, err := startStandins(options.Port, options.Logs)
	if err != nil {
		return err
	}
	defer d.stop()
	out.event("Birlik, scaled down, in one process on 127.1.x.y, ports %d to %d", d.ports, int(d.ports)+portCount-1)
	r := &run{deployment: d, out: out}
	if err := r.start(ctx); err != nil {
		return err
	}
	if err := r.drive(ctx); err != nil {
		return err
	}
	out.report(&r.result, r.drainWindows())
	lines := r.result.violations()
	for _, line := range lines {
		out.line("BROKEN: %s", line)
	}
	if len(lines) > 0 {
		out.samples(r.result.services)
		return errkind.New(errkind.Unavailable, fmt.Sprintf("%d checks failed", len(lines)),
			"see the lines above; run again with --verbose for the logs of the processes")
	}
	out.line("No promise was broken. The demo took %.1f s.", time.Since(began).Seconds())
	return nil
}

// run is one run of the demo.
type run struct {
	*deployment
	out       *printer
	revisions *revisions
	callers   []*callers
	// began is when traffic began, drainedAt when the drain was submitted.
	began, drainedAt time.Time
	// servedAtGrace is the number of requests that the drained backend server had served
	// when drainGrace ended.
	servedAtGrace uint64
	result        result
}

// start starts the deployment and creates the services.
func (r *run) start(ctx context.Context) error {
	if err := r.startBalancers(ctx); err != nil {
		return err
	}
	r.out.event("%d balancers are ready in %v", balancers, dataCentres)
	r.revisions = newRevisions(r.observeBalancers())
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go r.revisions.watch(watching)
	ticket, err := r.createServices(ctx, r.revisions)
	if err != nil {
		return err
	}
	r.recordTicket(ticket)
	if err := r.startHosts(ctx); err != nil {
		return err
	}
	for _, s := range services {
		r.out.event("%d backend servers of %s have announced themselves", s.hosts, s.name)
	}
	return nil
}

// drive runs the traffic and the events, and collects the results.
func (r *run) drive(ctx context.Context) error {
	r.revisions = newRevisions(append(r.observeBalancers(), r.observeAgents()...))
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go r.revisions.watch(watching)
	r.began = time.Now()
	traffic, stopTraffic := context.WithTimeout(ctx, trafficTime)
	defer stopTraffic()
	if err := r.startTraffic(traffic); err != nil {
		return err
	}
	reporting, stopReporting := context.WithCancel(ctx)
	go r.reportProgress(reporting)
	events := make(chan struct{})
	go func() {
		defer close(events)
		r.runEvents(ctx)
	}()
	for _, c := range r.callers {
		c.wait()
	}
	<-events
	stopReporting()
	if err := ctx.Err(); err != nil {
		return errkind.Wrap(err, errkind.Expired, "the demo was interrupted", "run it again")
	}
	r.collect()
	return nil
}

func (r *run) startTraffic(ctx context.Context) error {
	for _, s := range services {
		m := mixes[s.name]
		c := &callers{
			service: s.name, address: r.ports.service(s), tls: callerTLS(r.keys), mix: m,
			recorder: newRecorder(r.began, s.name, m.planned()),
		}
		if err := c.start(ctx); err != nil {
			return err
		}
		r.callers = append(r.callers, c)
	}
	return nil
}

// collect collects the results and compares answers to bookings with the ledgers of the
// backend servers.
func (r *run) collect() {
	runs := make(ledger)
	for _, h := range r.hosts {
		for _, entry := range h.server.Ledger().Runs() {
			runs[entry.Booking] = append(runs[entry.Booking], entry.Server)
		}
	}
	for _, c := range r.callers {
		r.result.services = append(r.result.services, c.recorder.close(runs))
	}
	r.result.reverts = r.revisions.reverted()
	if err := r.failure(); err != nil {
		r.result.problems = append(r.result.problems, err.Error())
	}
}

func (r *run) observeBalancers() []observedProcess {
	var all []observedProcess
	for _, b := range r.balancers {
		all = append(all, observedProcess{task: b.task, revision: func() int64 { return b.balancer.Driver().Catalog().Revision() }})
	}
	return all
}

func (r *run) observeAgents() []observedProcess {
	var all []observedProcess
	for _, h := range r.hosts {
		all = append(all, observedProcess{task: h.task, revision: h.agent.Revision})
	}
	return all
}

// recordTicket records the result of a ticket and prints it.
func (r *run) recordTicket(t ticketResult) {
	r.result.tickets = append(r.result.tickets, t)
	r.out.event("ticket %d: %s; %s", len(r.result.tickets), t.what, t.describe())
}

// drainWindows returns the seconds of the run in which the drain was under way.
func (r *run) drainWindows() drainSpan {
	if r.drainedAt.IsZero() {
		return drainSpan{}
	}
	from := r.drainedAt.Sub(r.began)
	return drainSpan{server: r.result.drained, from: int(from / time.Second), until: int((from+drainGrace)/time.Second) + 1}
}
