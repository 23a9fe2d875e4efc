package faultmatrix

import (
	"net/netip"
	"testing"
	"time"
)

// TestRosterReplacesOutdatedSettings starts an agent whose settings name only a
// balancer that no longer exists: it must find the running balancers through the
// roster.
func TestRosterReplacesOutdatedSettings(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		time.Sleep(12 * time.Minute) // every balancer has tried to claim a place in the roster
		f.agentProcesses[2].crash()
		f.settings.agents[2].Peers = []netip.AddrPort{netip.MustParseAddrPort("127.3.1.200:7000")}
		f.startAgent(2)
		time.Sleep(30 * time.Second)
		if err := f.agents[2].Ready(); err != nil {
			t.Errorf("the agent found no balancer: %v", err)
		}
	})
}
