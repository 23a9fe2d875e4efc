package control

import "time"

// Class is the priority of control traffic.
type Class uint8

// Classes of control traffic.
const (
	// ClassProbe carries probes and their answers. It shares the reserve of
	// heartbeats and has priority over them, because a probe that is not sent or
	// not answered makes a live member look dead.
	ClassProbe Class = iota
	// ClassHeartbeat carries announcements and their acknowledgements. It has a
	// reserved share that no other class but probes can use.
	ClassHeartbeat
	// ClassUrgent carries drains, suspicions and deaths.
	ClassUrgent
	// ClassTicket carries new catalog revisions and status queries.
	ClassTicket
	// ClassMember carries updates that are not urgent, such as joins and recoveries, and repair.
	ClassMember
	// ClassLoad carries load reports.
	ClassLoad
	// Classes is the number of classes.
	Classes
)

// String returns the class as metrics show it.
func (c Class) String() string {
	names := [...]string{"probe", "heartbeat", "urgent", "ticket", "member", "load"}
	if int(c) >= len(names) {
		return "invalid"
	}
	return names[c]
}

// DatagramOverhead is what the budget counts on top of each payload for the
// sealed envelope and the UDP and IP headers, in bytes.
const DatagramOverhead = 64

// Shares of the budget.
const (
	// burstShare is the share of BytesPerSecond that the burst takes; the rest is
	// the rate. Burst and rate together bound the bytes sent in any second.
	burstShare = 0.25
	// heartbeatShare is the share of burst and rate reserved for probes and heartbeats.
	heartbeatShare = 0.45
	// probeReserve is the share of the reserved burst that heartbeats must leave for probes.
	probeReserve = 0.3
)

// floors are the shares of the common burst that each class must leave for
// classes of higher priority. Urgent traffic may use all of it.
var floors = [Classes]float64{
	ClassProbe:     0.3,
	ClassHeartbeat: 0.6,
	ClassUrgent:    0,
	ClassTicket:    0.2,
	ClassMember:    0.4,
	ClassLoad:      0.5,
}

// Usage counts control traffic of one class.
type Usage struct {
	Datagrams, Bytes uint64
	// Deferred counts datagrams that were not sent because of the budget.
	Deferred uint64
}

// budget is a pair of token buckets: one reserved for probes and heartbeats, and
// one for all classes.
type budget struct {
	reserved, common tokenBucket
	usage            [Classes]Usage
}

type tokenBucket struct {
	rate, burst, tokens float64
	last                time.Time
}

func newBudget(now time.Time, bytesPerSecond int) *budget {
	ceiling := float64(bytesPerSecond)
	return &budget{
		reserved: newTokenBucket(now, ceiling*heartbeatShare),
		common:   newTokenBucket(now, ceiling*(1-heartbeatShare)),
	}
}

func newTokenBucket(now time.Time, ceiling float64) tokenBucket {
	burst := ceiling * burstShare
	return tokenBucket{rate: ceiling - burst, burst: burst, tokens: burst, last: now}
}

func (b *tokenBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
		b.last = now
	}
}

// take uses size tokens if that leaves at least floor of the burst.
func (b *tokenBucket) take(size, floor float64) bool {
	if b.tokens-size < floor*b.burst {
		return false
	}
	b.tokens -= size
	return true
}

// available returns how large a payload may be, in bytes, so that class may send
// the given number of copies of it now.
func (b *budget) available(now time.Time, class Class, copies int) int {
	b.common.refill(now)
	free := b.common.tokens - floors[class]*b.common.burst
	free = free/float64(copies) - DatagramOverhead
	return min(MaxPayload, max(0, int(free)))
}

// takeReserved takes cost from the reserve of probes and heartbeats if the class may use it.
func (b *budget) takeReserved(class Class, cost float64) bool {
	switch class {
	case ClassProbe:
		return b.reserved.take(cost, 0)
	case ClassHeartbeat:
		return b.reserved.take(cost, probeReserve)
	default:
		return false
	}
}

// allow reports whether a payload of size bytes may be sent now. It counts the payload as sent or
// as deferred.
func (b *budget) allow(now time.Time, class Class, size int) bool {
	cost := float64(size + DatagramOverhead)
	b.reserved.refill(now)
	b.common.refill(now)
	if !b.takeReserved(class, cost) && !b.common.take(cost, floors[class]) {
		b.usage[class].Deferred++
		return false
	}
	b.usage[class].Datagrams++
	b.usage[class].Bytes += uint64(cost)
	return true
}
