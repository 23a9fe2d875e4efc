package replypath

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start     = time.Unix(1_800_000_000, 0)
	caller    = netip.MustParseAddrPort("127.9.9.9:40000")
	balancers = []netip.AddrPort{
		netip.MustParseAddrPort("127.1.1.1:7000"),
		netip.MustParseAddrPort("127.1.1.2:7000"),
		netip.MustParseAddrPort("127.1.1.3:7000"),
	}
)

// deliver records packets that the senders deliver in turn, one per step, and returns
// the time of the last one.
func deliver(c *Chooser, from time.Time, packets int, step time.Duration, senders ...netip.AddrPort) time.Time {
	now := from
	for i := range packets {
		now = now.Add(step)
		c.RecordPacket(senders[i%len(senders)], now)
	}
	return now
}

func TestChoose(t *testing.T) {
	preferred, ok := NewChooser().Choose(caller, balancers, start)
	if !ok {
		t.Fatal("no balancer chosen")
	}
	var others []netip.AddrPort
	for _, b := range balancers {
		if b != preferred {
			others = append(others, b)
		}
	}
	cases := []struct {
		name string
		// packets, step and senders describe the packets delivered after the first packets of
		// all balancers.
		packets int
		step    time.Duration
		senders []netip.AddrPort
		keeps   bool
	}{
		{"all deliver", 300, time.Millisecond, balancers, true},
		{"preferred balancer is silent while others deliver", 300, time.Millisecond, others, false},
		{"preferred balancer is silent for less than minSilence", 60, time.Millisecond, others, true},
		{"too few packets from the others", 20, time.Second, others, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			chooser := NewChooser()
			now := deliver(chooser, start, 30, time.Millisecond, balancers...)
			now = deliver(chooser, now, c.packets, c.step, c.senders...)
			got, ok := chooser.Choose(caller, balancers, now)
			is.True(ok)
			is.Equal(got == preferred, c.keeps)
		})
	}
	_, ok = NewChooser().Choose(caller, nil, start)
	is.New(t).True(!ok)
}

// A balancer can be alive but unable to reach the caller. Repeated stalls must make
// Choose return each of the other balancers for the caller, and must not change the
// balancer of other callers.
func TestStalledCallerGetsOtherBalancers(t *testing.T) {
	is := is.New(t)
	chooser := NewChooser()
	other := netip.MustParseAddrPort("127.9.9.8:40001")
	before, _ := chooser.Choose(other, balancers, start)
	chosen := make(map[netip.AddrPort]bool)
	for range 12 {
		balancer, ok := chooser.Choose(caller, balancers, start)
		is.True(ok)
		chosen[balancer] = true
		chooser.RecordStall(caller)
	}
	is.Equal(len(chosen), len(balancers))
	after, _ := chooser.Choose(other, balancers, start)
	is.Equal(after, before)
}

func TestChooserIsBounded(t *testing.T) {
	is := is.New(t)
	chooser := NewChooser()
	for i := range maxBalancers + 100 {
		addr := netip.AddrFrom4([4]byte{127, byte(i >> 16), byte(i >> 8), byte(i)})
		chooser.RecordPacket(netip.AddrPortFrom(addr, 7000), start)
	}
	is.Equal(chooser.tracked.Load(), int64(maxBalancers))
}
