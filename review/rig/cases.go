package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

const (
	recovery = 12 * time.Second // recovery_s of esob
	measured = 10 * time.Second // span in which served requests are counted
)

const service = "rezervasyon"

// restartDelay is the time from the end of a process to its next start, as in the bench.
const restartDelay = 550 * time.Millisecond

// serviceAddr is the address of the one route.
func (w *world) serviceAddr() netip.AddrPort { return netip.MustParseAddrPort("127.73.0.1:443") }

// writeConfig writes the first desired state.
func (w *world) writeConfig() {
	w.store.operatorPut("op/config", []byte(`{"version":2,"routes":[{"name":"r-1","hostname":"127.73.0.1","prefix":"/443/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":250,"priority":2,"service":"rezervasyon","max_attempts":2}],"services":[{"name":"rezervasyon","health_path":"/health","max_conns":2000,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`))
}

// judge applies the rule RECOVER.
func judge(w *world, t *traffic, before, back time.Time) verdict {
	okBefore, allBefore := t.served(before.Add(-measured), before)
	from := back.Add(recovery)
	okAfter, allAfter := t.served(from, from.Add(measured))
	text := fmt.Sprintf("%d of %d requests served before the fault, %d of %d sent more than %v after the machines were back",
		okBefore, allBefore, okAfter, allAfter, recovery)
	if allBefore == 0 || 4*okBefore < allBefore || allAfter == 0 {
		w.cannotRun(fmt.Errorf("nothing to judge: %s", text))
	}
	return verdict{4*okAfter < allAfter, text}
}

// zones of the small deployment, each with one front machine and one application host.
var zones = []string{"cesme", "alacati", "bodrum", "akyaka"}

// deployment starts a front machine in each zone, an agent with its host in each zone, and the clients. The seeds are
// the first three front machines.
func (w *world) deployment(zones []string) (fronts, sides []*machine, seeds []netip.AddrPort) {
	w.writeConfig()
	for i, zone := range zones {
		fronts = append(fronts, w.machine("balancer", "front-"+zone+"-1", zone, "", i+1, 10))
		sides = append(sides, w.machine("agent", "side-"+zone+"-1", zone, service, i+1, 21))
	}
	for _, m := range fronts[:min(3, len(fronts))] {
		seeds = append(seeds, m.addr(w.ports.control))
	}
	for _, m := range w.machines {
		m.start(true, seeds)
	}
	for _, m := range sides {
		m.startHost()
	}
	for _, m := range fronts {
		m.join()
	}
	w.waitReady(len(fronts), 15*time.Second)
	for i := range 8 {
		w.client(zones[i%len(zones)], i+1)
	}
	return fronts, sides, seeds
}

// frontsReplaced: both front machines lose power, and spare ones with the same role are added at new addresses.
func frontsReplaced(w *world) verdict {
	zones := zones[:2]
	fronts, _, seeds := w.deployment(zones)
	t := w.startTraffic(200*time.Millisecond, 2*time.Second)
	time.Sleep(measured + time.Second)
	before, back := time.Now(), time.Now().Add(2*time.Second)
	if w.trouble {
		for _, m := range fronts {
			m.kill()
		}
		time.Sleep(2 * time.Second)
		back = time.Now()
		for i, zone := range zones {
			spare := w.machine("balancer", "front-"+zone+"-2", zone, "", i+1, 11)
			spare.start(false, seeds)
			spare.join()
		}
	}
	time.Sleep(time.Until(back.Add(recovery + measured + 500*time.Millisecond)))
	w.rec.log("roster: %v", w.store.contents("/almondledge/"))
	t.end()
	return judge(w, t, before, back)
}

// allKilled: a front process is killed and starts again; over a minute later all processes are killed, and the
// machines that the settings name as seeds stay away.
func allKilled(w *world) verdict {
	fronts, sides, seeds := w.deployment(zones)
	time.Sleep(5 * time.Second)
	w.rec.log("roster: %v", w.store.contents("/almondledge/"))
	if w.trouble {
		fronts[3].kill()
		time.Sleep(time.Second)
		fronts[3].start(false, seeds)
	}
	time.Sleep(53 * time.Second)
	t := w.startTraffic(200*time.Millisecond, 2*time.Second)
	time.Sleep(measured + time.Second)
	w.rec.log("roster: %v", w.store.contents("/almondledge/"))
	before, back := time.Now(), time.Now().Add(time.Second)
	if w.trouble {
		for _, m := range w.machines {
			m.kill()
		}
		for _, m := range fronts[:3] {
			w.fabric.remove(m.addr(w.ports.data))
		}
		time.Sleep(time.Second)
		back = time.Now()
		for _, m := range append(sides, fronts[3]) {
			m.start(false, seeds)
		}
	}
	time.Sleep(time.Until(back.Add(recovery + measured + 500*time.Millisecond)))
	w.rec.log("roster: %v", w.store.contents("/almondledge/"))
	t.end()
	return judge(w, t, before, back)
}

// plannedRoll: planned work only. In each round the front machine that is no seed is stopped and started, soon after it
// the other three, and the agents while those three are away.
func plannedRoll(w *world) verdict {
	fronts, sides, seeds := w.deployment(zones)
	for i, zone := range zones {
		m := w.machine("agent", "side-"+zone+"-2", zone, service, i+1, 22)
		m.start(true, seeds)
		m.startHost()
		sides = append(sides, m)
	}
	flows := w.startFlows(25, time.Now().Add(106*time.Second))
	time.Sleep(8 * time.Second)
	for round := 0; round < 13 && w.trouble; round++ {
		w.rec.log("round %d; roster: %v", round, w.store.contents("/almondledge/"))
		var group sync.WaitGroup
		rollAfter := func(delay time.Duration, m *machine) {
			group.Go(func() {
				time.Sleep(delay)
				m.roll(restartDelay, seeds)
			})
		}
		rollAfter(0, fronts[3])
		for _, m := range fronts[:3] {
			rollAfter(800*time.Millisecond, m)
		}
		for i, m := range sides {
			rollAfter(2020*time.Millisecond+time.Duration(i)*12*time.Millisecond, m)
		}
		group.Wait()
		time.Sleep(3500 * time.Millisecond)
	}
	return flows.judge(w)
}
