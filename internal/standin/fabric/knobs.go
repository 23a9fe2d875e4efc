package fabric

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
)

// maxDelayMillis bounds every delay, so that no datagram outlives a test.
const maxDelayMillis = 10_000

// Balancer is a balancer that datagrams of callers are sent to.
type Balancer struct {
	// Addr is the UDP address that the balancer receives on and sends from.
	Addr netip.AddrPort `json:"addr"`
	// DataCentre selects the delay from Knobs.DelayMillis.
	DataCentre string `json:"dataCentre,omitempty"`
}

// Knobs lists the balancers of the fabric and configures its faults. The zero value
// drops the datagrams of callers, since it lists no balancer.
type Knobs struct {
	// Balancers receive the datagrams of callers.
	Balancers []Balancer `json:"balancers"`
	// Loss is the share of datagrams that are dropped, from 0 to 1.
	Loss float64 `json:"loss,omitempty"`
	// Duplication is the share of datagrams that are sent twice.
	Duplication float64 `json:"duplication,omitempty"`
	// Reordering is the share of datagrams that are delayed by ReorderMillis.
	Reordering float64 `json:"reordering,omitempty"`
	// ReorderMillis is the additional delay of reordered datagrams, in milliseconds.
	ReorderMillis float64 `json:"reorderMillis,omitempty"`
	// DelayMillis is the one-way delay in milliseconds to and from each data centre.
	DelayMillis map[string]float64 `json:"delayMillis,omitempty"`
	// JitterMillis is the largest random addition to each delay, in milliseconds.
	JitterMillis float64 `json:"jitterMillis,omitempty"`
	// CutTo lists balancers that are still chosen, but whose datagrams are dropped.
	CutTo []netip.AddrPort `json:"cutTo,omitempty"`
	// CutFrom lists balancers whose replies are dropped.
	CutFrom []netip.AddrPort `json:"cutFrom,omitempty"`
}

// Validate returns an error of kind errkind.Invalid that names the bad field, or nil.
func (k Knobs) Validate() error {
	for name, share := range map[string]float64{"loss": k.Loss, "duplication": k.Duplication, "reordering": k.Reordering} {
		if !(share >= 0 && share <= 1) {
			return invalid(name, share, "use a share from 0 to 1")
		}
	}
	delays := maps.Clone(k.DelayMillis)
	if delays == nil {
		delays = make(map[string]float64)
	}
	delays["reorderMillis"] = k.ReorderMillis
	delays["jitterMillis"] = k.JitterMillis
	for name, millis := range delays {
		if !(millis >= 0 && millis <= maxDelayMillis) {
			return invalid(name, millis, fmt.Sprintf("use 0 to %d ms", maxDelayMillis))
		}
	}
	for i, b := range k.Balancers {
		if !b.Addr.IsValid() || b.Addr.Port() == 0 {
			return invalid(fmt.Sprintf("balancers[%d].addr", i), b.Addr, "write the address as IP:port")
		}
	}
	return nil
}

func invalid(field string, value any, remedy string) error {
	return errkind.New(errkind.Invalid, fmt.Sprintf("fabric knob %s has the bad value %v", field, value), remedy)
}

func (k Knobs) clone() Knobs {
	k.Balancers = slices.Clone(k.Balancers)
	k.DelayMillis = maps.Clone(k.DelayMillis)
	k.CutTo = slices.Clone(k.CutTo)
	k.CutFrom = slices.Clone(k.CutFrom)
	return k
}

func (k *Knobs) delay(dataCentre string) time.Duration {
	return millis(k.DelayMillis[dataCentre])
}

func (k *Knobs) dataCentre(balancer netip.AddrPort) string {
	for _, b := range k.Balancers {
		if b.Addr == balancer {
			return b.DataCentre
		}
	}
	return ""
}

func millis(v float64) time.Duration {
	return time.Duration(v * float64(time.Millisecond))
}
