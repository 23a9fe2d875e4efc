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
	// healthCheck is how long the fabric sprays at a balancer that has died.
	healthCheck = time.Second
)

// fault is one thing that goes wrong.
type fault struct {
	name string
	// strike begins the fault; target is the agent of the flow under test.
	strike func(f *fleet, target int)
	// loses reports that the fault takes the target's process or backend server
	// away without warning: its flows may break and its requests may be cut or
	// end with an unknown outcome, but nothing may be untrue.
	loses bool
	// cuts reports that balancers of one data centre cannot reach agents of the
	// other meanwhile: two thirds of the packets of some flows are lost, and a
	// flow that cannot open may have to be opened again. Open flows must survive.
	cuts bool
}

// faults lists every fault of the brief.
var faults = []fault{
	{name: "none", strike: func(*fleet, int) {}},
	{name: "balancer killed", strike: func(f *fleet, _ int) {
		f.balancerAt[0].crash()
		f.after(healthCheck, func() { f.setSprayed(1, 2) })
	}},
	{name: "balancer frozen and woken", strike: func(f *fleet, _ int) { f.freeze(f.balancerAt[1]) }},
	{name: "balancer joins", strike: func(f *fleet, _ int) { f.joinBalancer() }},
	{name: "balancer cut from the fabric", strike: func(f *fleet, _ int) {
		// Its peers and agents find it healthy, but callers get no answer through it.
		severed := balancerHost(1)
		f.links(func(from, to netip.Addr) memnet.Link {
			return memnet.Link{Delay: linkDelay, Cut: from == severed && to == fabricAddr.Addr()}
		})
	}},
	{name: "balancer leaves", strike: func(f *fleet, _ int) { f.leaveBalancer(2) }},
	{name: "agent killed", loses: true, strike: func(f *fleet, target int) { f.agentAt[target].crash() }},
	{name: "agent killed and replaced", loses: true, strike: func(f *fleet, target int) {
		f.agentAt[target].crash()
		f.after(2*time.Second, func() { f.startAgent(target) })
	}},
	{name: "agent frozen and woken", loses: true, strike: func(f *fleet, target int) { f.freeze(f.agentAt[target]) }},
	{name: "agent stopped", strike: func(f *fleet, target int) { f.agentAt[target].drain() }},
	{name: "backend server crashed", loses: true, strike: func(f *fleet, target int) {
		f.backends[target].Crash()
		f.after(faultSpan, func() { f.must(f.backends[target].Restart()) })
	}},
	{name: "backend server slow", strike: knobs(backend.Knobs{SlowMillis: 1500})},
	{name: "backend server drains", strike: func(f *fleet, target int) { f.stopBackend(target) }},
	{name: "backend server cold", strike: knobs(backend.Knobs{ColdStartMillis: 60_000, ColdSlowMillis: 800})},
	{name: "backend server sheds load", strike: knobs(backend.Knobs{ShedShare: 1}), loses: true},
	{name: "backend server misreports its load", strike: knobs(backend.Knobs{ReportLoad: new(float64), Unhealthy: true})},
	{name: "uneven updates", strike: func(f *fleet, _ int) {
		lagging := balancerHost(2)
		f.links(func(from, to netip.Addr) memnet.Link {
			toOther := from == lagging && isBalancer(to) || to == lagging && isBalancer(from)
			return memnet.Link{Delay: linkDelay, Cut: toOther}
		})
		f.changeLimits()
	}},
	{name: "store down", strike: storeFault(platform.Faults{Down: true})},
	{name: "store slow", strike: storeFault(platform.Faults{Slow: 3 * time.Second})},
	{name: "store answer lost", strike: func(f *fleet, _ int) {
		f.store.SetFaults(platform.Faults{LoseAnswers: 1})
		f.changeLimits()
	}},
	{name: "leases lapse", strike: func(f *fleet, _ int) { f.store.ExpireLeases() }},
	{name: "operators race", strike: func(f *fleet, _ int) {
		f.changeLimits()
		f.changeLimits()
	}},
	{name: "data centres cut one way", cuts: true, strike: betweenCentres(func(from, _ int, l memnet.Link) memnet.Link {
		l.Cut = from == 0
		return l
	})},
	{name: "data centres cut both ways", cuts: true, strike: betweenCentres(func(_, _ int, l memnet.Link) memnet.Link {
		l.Cut = true
		return l
	})},
	{name: "link lossy", strike: betweenCentres(func(_, _ int, l memnet.Link) memnet.Link {
		l.Loss = 0.2
		return l
	})},
	{name: "link slow", strike: betweenCentres(func(_, _ int, l memnet.Link) memnet.Link {
		l.Delay = 100 * time.Millisecond
		return l
	})},
}

// after calls undo later in fake time.
func (f *fleet) after(wait time.Duration, undo func()) {
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(wait)
		undo()
	})
	f.atStop(group.Wait)
}

func (f *fleet) freeze(l *life) {
	l.host.Freeze()
	f.after(faultSpan, l.host.Thaw)
}

// links changes the links for the span of a fault.
func (f *fleet) links(during func(from, to netip.Addr) memnet.Link) {
	f.net.SetLinks(during)
	f.after(faultSpan, func() {
		f.net.SetLinks(func(_, _ netip.Addr) memnet.Link { return memnet.Link{Delay: linkDelay} })
	})
}

func isBalancer(addr netip.Addr) bool { return addr.As4()[2] == 1 }

// centreOf returns the data centre of a host, or -1 for the outside.
func centreOf(addr netip.Addr) int {
	octets := addr.As4()
	if octets[1] != 3 || octets[2] != 1 && octets[2] != 2 {
		return -1
	}
	return int(octets[3]-1) % len(dataCentres)
}

// betweenCentres changes the links between the two data centres.
func betweenCentres(change func(from, to int, link memnet.Link) memnet.Link) func(*fleet, int) {
	return func(f *fleet, _ int) {
		f.links(func(from, to netip.Addr) memnet.Link {
			link := memnet.Link{Delay: linkDelay}
			a, b := centreOf(from), centreOf(to)
			if a < 0 || b < 0 || a == b {
				return link
			}
			return change(a, b, link)
		})
	}
}

func knobs(k backend.Knobs) func(*fleet, int) {
	return func(f *fleet, target int) {
		f.must(f.backends[target].SetKnobs(k))
		f.after(faultSpan, func() { f.must(f.backends[target].SetKnobs(backend.Knobs{})) })
	}
}

func storeFault(during platform.Faults) func(*fleet, int) {
	return func(f *fleet, _ int) {
		f.store.SetFaults(during)
		f.after(faultSpan, func() { f.store.SetFaults(platform.Faults{}) })
	}
}

// changeLimits submits a ticket in the background; of several at once one wins.
func (f *fleet) changeLimits() {
	f.after(0, func() {
		f.change("limits", func(spec *service.Spec) { spec.Limits.QueueLength++ })
	})
}

func (f *fleet) joinBalancer() {
	f.startBalancer(balancerCount)
	f.after(healthCheck, func() { f.setSprayed(0, 1, 2, balancerCount) })
}

// leaveBalancer stops a balancer as planned: the fabric stops spraying at it
// when it says that it is not ready.
func (f *fleet) leaveBalancer(i int) {
	f.balancerAt[i].drain()
	f.after(healthCheck/2, func() {
		var rest []int
		for k := range f.liveBalancers() {
			if k != i {
				rest = append(rest, k)
			}
		}
		f.setSprayed(rest...)
	})
}
