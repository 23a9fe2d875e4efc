// Package load runs callers against services and reports the results.
//
// Arrivals are open-loop: the intended start of a request does not depend on
// earlier answers, and its latency is measured from the intended start. A stall
// therefore counts in full, which avoids coordinated omission.
package load

import (
	"crypto/tls"
	"fmt"
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
)

// Bounds of a run.
const (
	maxDuration  = 2 * time.Hour
	maxLongFlows = 15_000
	maxRate      = 20_000
	maxTargets   = 64
	// maxInFlight bounds the requests in flight; arrivals above it are counted as
	// skipped.
	maxInFlight = 20_000
)

// Target is one service under load.
type Target struct {
	// Name is the name of the service.
	Name string
	// Address is the service address.
	Address netip.AddrPort
	// ServerName is the host name in requests and in TLS.
	ServerName string
	// Servers is the number of backend servers. Zero means the number of backend servers
	// that answered.
	Servers int
	// Mix describes the requests of the callers.
	Mix Mix
}

// Mix describes the requests of the callers of one service.
type Mix struct {
	// LongFlows is the number of flows that stay open for the whole run.
	LongFlows int
	// PollInterval is the time between two requests of a long flow.
	PollInterval time.Duration
	// Feeds is the number of long flows that read feeds instead of polling.
	Feeds int
	// FeedLines is the number of lines of a feed. After its last line, the flow reads a new
	// feed.
	FeedLines int
	// FeedInterval is the time between two lines of a feed.
	FeedInterval time.Duration
	// SheetsPerSecond is the rate of downloads, each on its own flow.
	SheetsPerSecond float64
	// SheetBytes is the size of a download in bytes.
	SheetBytes int64
	// BookingsPerSecond is the rate of bookings, which are sent on the long flows that
	// poll.
	BookingsPerSecond float64
	// BookingWork is the time that the backend server takes for a booking.
	BookingWork time.Duration
}

// Config describes a run.
type Config struct {
	// Targets are the services under load.
	Targets []Target
	// TLS holds the trusted root certificates.
	TLS *tls.Config
	// Duration is the time during which new requests start.
	Duration time.Duration
	// RequestTimeout bounds each request, including the waits between its tries.
	RequestTimeout time.Duration
	// IdleTimeout is the time without a received packet after which a connection ends.
	IdleTimeout time.Duration
	// Seed determines the arrivals.
	Seed uint64
	// Ledgers are the ledger files of the backend servers, used to check bookings.
	Ledgers []string
	// Metrics lists the metrics endpoints of the processes whose resource usage is
	// reported.
	Metrics []MetricsSource
	// Progress receives a line every few seconds. It may be nil.
	Progress func(line string)
}

// Validate returns an error of kind errkind.Invalid that names the invalid field, or nil.
func (c Config) Validate() error {
	if c.Duration <= 0 || c.Duration > maxDuration {
		return invalid("duration", c.Duration, fmt.Sprintf("use more than zero and at most %v", maxDuration))
	}
	if c.RequestTimeout <= 0 || c.RequestTimeout > maxDuration {
		return invalid("request timeout", c.RequestTimeout, fmt.Sprintf("use more than zero and at most %v", maxDuration))
	}
	if len(c.Targets) == 0 || len(c.Targets) > maxTargets {
		return invalid("targets", len(c.Targets), fmt.Sprintf("name 1 to %d services", maxTargets))
	}
	flows := 0
	for _, t := range c.Targets {
		if err := t.validate(); err != nil {
			return err
		}
		flows += t.Mix.LongFlows
	}
	if flows > maxLongFlows {
		return invalid("long flows", flows, fmt.Sprintf("use at most %d in all", maxLongFlows))
	}
	return nil
}

func (t Target) validate() error {
	m := t.Mix
	if !t.Address.IsValid() || t.Address.Port() == 0 {
		return invalid("address of "+t.Name, t.Address, "write the service address as IP:port")
	}
	if m.LongFlows < 0 || m.Feeds < 0 || m.Feeds > m.LongFlows {
		return invalid("long flows of "+t.Name, m.LongFlows, "use no negative number, and no more feeds than long flows")
	}
	if m.LongFlows > 0 && m.PollInterval <= 0 {
		return invalid("poll interval of "+t.Name, m.PollInterval, "use a time above zero")
	}
	for _, rate := range []float64{m.SheetsPerSecond, m.BookingsPerSecond} {
		if !(rate >= 0 && rate <= maxRate) {
			return invalid("rate of "+t.Name, rate, fmt.Sprintf("use 0 to %d a second", maxRate))
		}
	}
	if m.BookingsPerSecond > 0 && m.LongFlows == m.Feeds {
		return invalid("bookings of "+t.Name, m.BookingsPerSecond, "configure at least one long flow that is not a feed, since bookings use those")
	}
	return nil
}

func invalid(field string, value any, remedy string) error {
	return errkind.New(errkind.Invalid, fmt.Sprintf("load setting %s has the invalid value %v", field, value), remedy)
}
