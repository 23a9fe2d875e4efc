package fabric

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// delivery is one copy of a datagram to be sent.
type delivery struct {
	to    netip.AddrPort
	delay time.Duration
}

// shaper decides how many copies of a datagram are sent, to whom and after which delay. It
// is not safe for concurrent use.
type shaper struct {
	rng *rand.Rand
}

func newShaper(seed uint64) shaper {
	return shaper{rng: rand.New(rand.NewPCG(seed, seed))}
}

// spray appends the deliveries of a caller's datagram to out. A balancer is chosen
// at random for each copy.
func (s *shaper) spray(k *Knobs, out []delivery) []delivery {
	if len(k.Balancers) == 0 {
		return out
	}
	for range s.copyCount(k) {
		b := k.Balancers[s.rng.IntN(len(k.Balancers))]
		if !slices.Contains(k.CutTo, b.Addr) {
			out = append(out, delivery{to: b.Addr, delay: s.delay(k, b.DataCentre)})
		}
	}
	return out
}

// reply appends the deliveries of a balancer's datagram to out.
func (s *shaper) reply(k *Knobs, balancer, caller netip.AddrPort, out []delivery) []delivery {
	if slices.Contains(k.CutFrom, balancer) {
		return out
	}
	dataCentre := k.dataCentre(balancer)
	for range s.copyCount(k) {
		out = append(out, delivery{to: caller, delay: s.delay(k, dataCentre)})
	}
	return out
}

// copyCount draws the number of copies of a datagram to send.
func (s *shaper) copyCount(k *Knobs) int {
	switch {
	case s.occurs(k.Loss):
		return 0
	case s.occurs(k.Duplication):
		return 2
	default:
		return 1
	}
}

// delay draws the delay of one copy.
func (s *shaper) delay(k *Knobs, dataCentre string) time.Duration {
	d := k.delay(dataCentre)
	if k.JitterMillis > 0 {
		d += millis(k.JitterMillis * s.rng.Float64())
	}
	if s.occurs(k.Reordering) {
		d += millis(k.ReorderMillis)
	}
	return d
}

// occurs draws whether an event with the probability share occurs.
func (s *shaper) occurs(share float64) bool {
	return share > 0 && s.rng.Float64() < share
}
