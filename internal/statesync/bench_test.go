package statesync_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/network"
	"github.com/almondledge/almondledge/internal/statesync"
)

// designMembers is the number of balancers and agents of the largest planned deployment.
const designMembers = 43_900

// countingConn counts the bytes read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// BenchmarkFetchMembers measures fetching the member table at the design size, including the
// serving side, and reports the bytes on the wire.
func BenchmarkFetchMembers(b *testing.B) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	members := make([]fleet.Member, designMembers)
	for i := range members {
		members[i] = fleet.Member{
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000),
			Role: fleet.Agent, DataCentre: fmt.Sprint("dc", i%14), Incarnation: 1_780_000_000_000 + uint64(i*i%86_400_000), Revision: 3,
			Backend: fleet.Backend{Service: fmt.Sprint("service-", i%15_000), State: fleet.BackendReady, StartMillis: 1_780_000_000_000 + int64(i*i%86_400_000), Slots: 5},
		}
	}
	go statesync.Serve(listener, tableSource{members: members})
	var read atomic.Int64
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := network.System{}.DialTCP(ctx, address)
		return countingConn{conn, &read}, err
	}
	addr := netip.MustParseAddrPort(listener.Addr().String())
	for b.Loop() {
		if _, _, err := statesync.FetchMembers(context.Background(), dial, addr); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(read.Load())/float64(b.N), "wire-B/op")
}
