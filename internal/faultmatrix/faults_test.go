package faultmatrix

import (
	"net/netip"
	"sync"
	"time"

	"github.com/almondledge/almondledge/internal/memnet"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/standin/backend"
	"github.com/almondledge/almondledge/internal/standin/platform"
)

// Times of faults.
const (
	faultSpan = 8 * time.Second
	// healthCheckDelay is the time until the fabric stops sending to a balancer that was killed.
	healthCheckDelay = time.Second
)

// fault is a fault to inject.
type fault struct {
	name string
	// inject starts the fault; target is the agent of the flow under test.
	inject func(f *fleet, target int)
	// losesTarget reports that the fault makes the target's process or backend server
	// unavailable without warning: its flows may break, and its requests may be cut or
	// end with an unknown outcome, but no answer may be wrong.
	losesTarget bool
	// cutsCentres reports that balancers of one data centre cannot reach agents of the
	// other during the fault: two thirds of the packets of some flows are lost, and a
	// flow that cannot open may have to be opened again. Open flows must survive.
	cutsCentres bool
}

// faults lists the faults of the matrix. Their order determines the seeds and targets of
// the tests.
var faults = []fault{
	{name: "none", inject: func(*fleet, int) {}},
	{name: "balancer killed", inject: func(f *fleet, _ int) {
		f.balancerProcesses[0].crash()
		f.after(healthCheckDelay, func() { f.stopSprayingTo(0) })
	}},
	{name: "balancer frozen and woken", inject: func(f *fleet, _ int) { f.freeze(f.balancerProcesses[1]) }},
	{name: "balancer joins", inject: func(f *fleet, _ int) { f.joinBalancer() }},
	{name: "balancer cut from the fabric", inject: func(f *fleet, _ int) {
		// The balancer's peers and agents take it for healthy, but no answer
		// reaches a caller through it.
		severed := balancerHost(1)
		f.changeLinks(func(from, to netip.Addr) memnet.Link {
			return memnet.Link{Delay: linkDelay, Cut: from == severed && to == fabricAddr.Addr()}
		})
	}},
	{name: "balancer leaves", inject: func(f *fleet, _ int) { f.leaveBalancer(2) }},
	{name: "agent killed", losesTarget: true, inject: func(f *fleet, target int) { f.agentProcesses[target].crash() }},
	{name: "agent killed and replaced", losesTarget: true, inject: func(f *fleet, target int) {
		f.agentProcesses[target].crash()
		f.after(2*time.Second, func() { f.startAgent(target) })
	}},
	{name: "agent frozen and woken", losesTarget: true, inject: func(f *fleet, target int) { f.freeze(f.agentProcesses[target]) }},
	{name: "agent stopped", inject: func(f *fleet, target int) { f.agentProcesses[target].drain() }},
	{name: "backend server crashed", losesTarget: true, inject: func(f *fleet, target int) {
		f.backends[target].Crash()
		f.after(faultSpan, func() { f.must(f.backends[target].Restart()) })
	}},
	{name: "backend server slow", inject: backendFault(backend.Knobs{SlowMillis: 1500})},
	{name: "backend server drains", inject: func(f *fleet, target int) { f.stopBackend(target) }},
	{name: "backend server cold", inject: backendFault(backend.Knobs{ColdStartMillis: 60_000, ColdSlowMillis: 800})},
	{name: "backend server sheds load", inject: backendFault(backend.Knobs{ShedShare: 1}), losesTarget: true},
	{name: "backend server misreports its load", inject: backendFault(backend.Knobs{ReportLoad: new(float64), Unhealthy: true})},
	{name: "uneven updates", inject: func(f *fleet, _ int) {
		lagging := balancerHost(2)
		f.changeLinks(func(from, to netip.Addr) memnet.Link {
			toOther := from == lagging && isBalancer(to) || to == lagging && isBalancer(from)
			return memnet.Link{Delay: linkDelay, Cut: toOther}
		})
		f.changeLimits()
	}},
	{name: "store down", inject: storeFault(platform.Faults{Down: true})},
	{name: "store slow", inject: storeFault(platform.Faults{Slow: 3 * time.Second})},
	{name: "store answer lost", inject: func(f *fleet, _ int) {
		f.store.SetFaults(platform.Faults{LoseAnswers: 1})
		f.changeLimits()
	}},
	{name: "leases lapse", inject: func(f *fleet, _ int) { f.store.ExpireLeases() }},
	{name: "operators race", inject: func(f *fleet, _ int) {
		f.changeLimits()
		f.changeLimits()
	}},
	{name: "data centres cut one way", cutsCentres: true, inject: betweenCentres(func(from, _ int, l memnet.Link) memnet.Link {
		l.Cut = from == 0
		return l
	})},
	{name: "data centres cut both ways", cutsCentres: true, inject: betweenCentres(func(_, _ int, l memnet.Link) memnet.Link {
		l.Cut = true
		return l
	})},
	{name: "link lossy", inject: betweenCentres(func(_, _ int, l memnet.Link) memnet.Link {
		l.Loss = 0.2
		return l
	})},
	{name: "link slow", inject: betweenCentres(func(_, _ int, l memnet.Link) memnet.Link {
		l.Delay = 100 * time.Millisecond
		return l
	})},
}

// after calls do in the background after a wait in fake time. The fleet stops
// only after do has returned.
func (f *fleet) after(wait time.Duration, do func()) {
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(wait)
		do()
	})
	f.atStop(group.Wait)
}

// freeze freezes a process for the duration of a fault.
func (f *fleet) freeze(p *process) {
	p.host.Freeze()
	f.after(faultSpan, p.host.Thaw)
}

// changeLinks changes the links for the duration of a fault.
func (f *fleet) changeLinks(during func(from, to netip.Addr) memnet.Link) {
	f.net.SetLinks(during)
	f.after(faultSpan, func() {
		f.net.SetLinks(func(_, _ netip.Addr) memnet.Link { return memnet.Link{Delay: linkDelay} })
	})
}

func isBalancer(addr netip.Addr) bool { return addr.As4()[2] == 1 }

// centreOf returns the index of a host's data centre, or -1 for an address outside the fleet.
func centreOf(addr netip.Addr) int {
	octets := addr.As4()
	if octets[1] != 3 || octets[2] != 1 && octets[2] != 2 {
		return -1
	}
	return int(octets[3]-1) % len(dataCentres)
}

// betweenCentres returns a fault that changes the links between the two data centres.
func betweenCentres(change func(from, to int, link memnet.Link) memnet.Link) func(*fleet, int) {
	return func(f *fleet, _ int) {
		f.changeLinks(func(from, to netip.Addr) memnet.Link {
			link := memnet.Link{Delay: linkDelay}
			a, b := centreOf(from), centreOf(to)
			if a < 0 || b < 0 || a == b {
				return link
			}
			return change(a, b, link)
		})
	}
}

// backendFault returns a fault that sets the knobs of the target's backend server.
func backendFault(k backend.Knobs) func(*fleet, int) {
	return func(f *fleet, target int) {
		f.must(f.backends[target].SetKnobs(k))
		f.after(faultSpan, func() { f.must(f.backends[target].SetKnobs(backend.Knobs{})) })
	}
}

// storeFault returns a fault of the platform's store.
func storeFault(during platform.Faults) func(*fleet, int) {
	return func(f *fleet, _ int) {
		f.store.SetFaults(during)
		f.after(faultSpan, func() { f.store.SetFaults(platform.Faults{}) })
	}
}

// changeLimits submits a ticket in the background. If several tickets are
// submitted at the same time, one is accepted.
func (f *fleet) changeLimits() {
	f.after(0, func() {
		f.change("limits", func(spec *service.Spec) { spec.Limits.QueueLength++ })
	})
}

func (f *fleet) joinBalancer() {
	f.startBalancer(balancerCount)
	f.after(healthCheckDelay, func() { f.sprayTo(balancerCount) })
}

// leaveBalancer stops a balancer gracefully: the fabric stops sending to it after it has
// reported that it is not ready.
func (f *fleet) leaveBalancer(i int) {
	f.balancerProcesses[i].drain()
	f.after(healthCheckDelay/2, func() { f.stopSprayingTo(i) })
}
