package flowtable_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/flowtable"
)

var start = time.Unix(2_000_000_000, 0)

func keyWithPort(port uint16) flow.Key {
	return flow.Key{Caller: flow.Endpoint{Port: port}, ServiceAddr: flow.Endpoint{Port: 443}}
}

func TestRequestsInProgress(t *testing.T) {
	is := is.New(t)
	table := flowtable.New(10)
	e := table.Begin(start, keyWithPort(1), flow.Endpoint{})
	is.Equal(table.Active(), 1) // the request is expected
	table.RecordBackendPacket(start, keyWithPort(1), &flow.Packet{Flags: flow.SYN | flow.ACK, Seq: 100})
	table.RecordCallerPacket(start, keyWithPort(1), e, &flow.Packet{Flags: flow.ACK, Ack: 101, Length: 10})
	is.Equal(table.Active(), 1)
	table.RecordBackendPacket(start, keyWithPort(1), &flow.Packet{Flags: flow.ACK, Seq: 101, Length: 50})
	is.Equal(table.Active(), 0)
	is.Equal(table.Open(), 1)
}

// Guards against the opening packet of a new flow that counts as a copy of the one before it from the same port.
func TestOpeningPacketsAreToldFromCopies(t *testing.T) {
	const isn = 1000
	opening := func(seq, number uint32) *flow.Packet { return &flow.Packet{Flags: flow.SYN, Seq: seq, Ack: number} }
	answer := &flow.Packet{Flags: flow.SYN | flow.ACK, Seq: 100}
	for _, test := range []struct {
		name  string
		begin func(*flowtable.Table, flow.Key)
		after time.Duration
		seq   uint32
		want  bool
	}{
		{"copy", beginWith(opening(isn, 0)), time.Second, isn, true},
		{"late copy", beginWith(opening(isn, 0)), time.Minute, isn, true},
		{"other flow", beginWith(opening(isn, 0)), time.Second, isn + 1, false},
		{"copy of a flow known from its answer", beginWith(answer), time.Second, isn, true},
		{"too late for a copy of a flow known from its answer", beginWith(answer), flow.OpeningTimeout, isn, false},
		{"flow that has ended", beginWith(opening(isn, 0), &flow.Packet{Flags: flow.RST}), time.Second, isn, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table := flowtable.New(10)
			test.begin(table, keyWithPort(1))
			is.Equal(table.Get(keyWithPort(1)).IsOpenedBy(start.Add(test.after), opening(test.seq, 1)), test.want)
		})
	}
}

// beginWith returns a function that records packets of a flow: opening packets as the caller's, others as those of
// the backend server.
func beginWith(packets ...*flow.Packet) func(*flowtable.Table, flow.Key) {
	return func(table *flowtable.Table, key flow.Key) {
		for _, p := range packets {
			if p.Opens() {
				table.RecordCallerPacket(start, key, table.Begin(start, key, flow.Endpoint{}), p)
			} else {
				table.RecordBackendPacket(start, key, p)
			}
		}
	}
}

// Guards against open flows that lose their packets: the late answer to a copy of the opening packet must not set the
// flow's numbers back to its start.
func TestLateAnswerToAnOpeningPacketKeepsTheNumbersOfAnOpenFlow(t *testing.T) {
	is := is.New(t)
	table := flowtable.New(10)
	key := keyWithPort(1)
	e := table.Begin(start, key, flow.Endpoint{})
	answer := &flow.Packet{Flags: flow.SYN | flow.ACK, Seq: 100}
	table.RecordBackendPacket(start, key, answer)
	table.RecordCallerPacket(start, key, e, &flow.Packet{Flags: flow.ACK, Ack: 101})
	const sent = 200_000
	table.RecordBackendPacket(start, key, &flow.Packet{Flags: flow.ACK, Seq: 101, Length: sent})
	table.RecordBackendPacket(start, key, answer)
	is.True(e.Matches(&flow.Packet{Flags: flow.ACK, Ack: 101 + sent}))
}

// Guards against flows whose first request never arrives and counts as in progress for ever: their agents
// would be considered overloaded for ever.
func TestExpectedRequestTimesOut(t *testing.T) {
	is := is.New(t)
	table := flowtable.New(10)
	table.Begin(start, keyWithPort(1), flow.Endpoint{})
	table.ExpireRequests(start.Add(time.Second), time.Minute)
	is.Equal(table.Active(), 0)
	is.Equal(table.Open(), 1)
}

// Guards against requests that are never answered and whose callers vanish: they would count as in progress
// until their flows are idle for long, and their agent would not open new flows.
func TestRequestInProgressTimesOut(t *testing.T) {
	is := is.New(t)
	const timeout = 5 * time.Second
	table := flowtable.New(10)
	request := &flow.Packet{Flags: flow.ACK, Ack: 101, Length: 10}
	e := table.Begin(start, keyWithPort(1), flow.Endpoint{})
	table.RecordBackendPacket(start, keyWithPort(1), &flow.Packet{Flags: flow.SYN | flow.ACK, Seq: 100})
	table.RecordCallerPacket(start, keyWithPort(1), e, request)
	table.ExpireRequests(start.Add(timeout-1), timeout)
	is.Equal(table.Active(), 1)
	table.ExpireRequests(start.Add(timeout), timeout)
	is.Equal(table.Active(), 0)
	is.True(!e.AwaitsAnswer())

	later := start.Add(timeout)
	table.RecordCallerPacket(later, keyWithPort(1), e, request)
	table.RecordBackendPacket(later, keyWithPort(1), &flow.Packet{Flags: flow.ACK, Seq: 101, Length: 50})
	table.RecordCallerPacket(later.Add(time.Second), keyWithPort(1), e, request)
	table.ExpireRequests(later.Add(timeout), timeout)
	is.Equal(table.Active(), 1) // the second request is younger than the first one on this flow
}

// A flow that was opened before this process started has no expected request.
func TestUnknownFlowHasNoRequestInProgress(t *testing.T) {
	is := is.New(t)
	table := flowtable.New(10)
	_, unknown := table.RecordBackendPacket(start, keyWithPort(1), &flow.Packet{Flags: flow.ACK, Seq: 5})
	is.True(unknown)
	is.Equal(table.Active(), 0)
	is.Equal(table.Open(), 1)
}

func TestMatchesByAcknowledgedNumber(t *testing.T) {
	is := is.New(t)
	table := flowtable.New(10)
	e := table.Begin(start, keyWithPort(1), flow.Endpoint{})
	is.True(!e.Matches(&flow.Packet{Flags: flow.ACK, Ack: 101})) // nothing was sent yet
	table.RecordBackendPacket(start, keyWithPort(1), &flow.Packet{Flags: flow.SYN | flow.ACK, Seq: 0xffff_fff0})
	is.True(e.Matches(&flow.Packet{Flags: flow.ACK, Ack: 0xffff_fff1}))
	is.True(e.Matches(&flow.Packet{Flags: flow.ACK, Ack: 20})) // numbers wrap
	is.True(!e.Matches(&flow.Packet{Flags: flow.ACK, Ack: 0x8000_0000}))
}

func TestEndedFlowsStayForLatePackets(t *testing.T) {
	is := is.New(t)
	table := flowtable.New(10)
	e := table.Begin(start, keyWithPort(1), flow.Endpoint{})
	table.RecordBackendPacket(start, keyWithPort(1), &flow.Packet{Flags: flow.SYN | flow.ACK})
	table.RecordCallerPacket(start, keyWithPort(1), e, &flow.Packet{Flags: flow.FIN | flow.ACK, Ack: 1})
	table.RecordBackendPacket(start, keyWithPort(1), &flow.Packet{Flags: flow.FIN | flow.ACK, Seq: 1})
	is.Equal(table.Open(), 0)
	is.True(table.Get(keyWithPort(1)) != nil)
	table.Expire(start.Add(10*time.Second), time.Minute)
	is.True(table.Get(keyWithPort(1)) == nil)
}

func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := flowtable.New(3)
	for port := range uint16(10) {
		table.Begin(start, keyWithPort(port), flow.Endpoint{})
	}
	is.Equal(table.Len(), 3)
	is.Equal(table.Open(), 3)
	is.Equal(table.Active(), 3)
}

// After any sequence of packets, the counters must match the flows in the table.
func TestCountsMatchFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := flowtable.New(5)
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			key := keyWithPort(rapid.Uint16Range(0, 8).Draw(t, "port"))
			p := &flow.Packet{
				Flags:  flow.Flags(rapid.Uint8Range(0, 15).Draw(t, "flags")),
				Length: rapid.IntRange(0, 1).Draw(t, "length"),
			}
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				table.Begin(now, key, flow.Endpoint{})
			case 1:
				if e := table.Get(key); e != nil && e.Matches(p) {
					table.RecordCallerPacket(now, key, e, p)
				}
			case 2:
				table.RecordBackendPacket(now, key, p)
			case 3:
				table.Remove(key)
			case 4:
				table.ExpireRequests(now, 5*time.Second)
				table.Expire(now, 20*time.Second)
			}
			open, active := 0, 0
			table.Visit(func(_ flow.Key, e *flowtable.Entry) {
				open++
				if e.RequestPending {
					active++
				}
			})
			if table.Open() != open || table.Active() != active {
				t.Fatalf("counts %d and %d, flows %d and %d", table.Open(), table.Active(), open, active)
			}
		}
	})
}
