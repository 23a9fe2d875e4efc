// Package load drives callers against services and reports what they got.
//
// Arrivals are open-loop: each request has an intended start that does not
// depend on earlier answers, and its latency counts from there, so that a stall
// is not hidden by requests that were never sent (coordinated omission).
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
	// maxInFlight bounds the requests under way at a time; later arrivals are
	// counted as skipped.
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
	// Servers is the number of backend servers; zero counts those that answered.
	Servers int
	// Mix is the work that callers bring.
	Mix Mix
}

// Mix is the work of the callers of one service.
type Mix struct {
	// LongFlows is the number of flows held from start to end.
	LongFlows int
	// PollInterval is the time between two requests of a long flow.
	PollInterval time.Duration
	// Feeds is the number of long flows that read feeds instead of polling.
	Feeds int
	// FeedLines is the number of lines of a feed, which is read again when it ends.
	FeedLines int
	// FeedInterval is the time between two lines of a feed.
	FeedInterval time.Duration
	// SheetsPerSecond is the rate of downloads, each on a flow of its own.
	SheetsPerSecond float64
	// SheetBytes is the size of a download.
	SheetBytes int64
	// BookingsPerSecond is the rate of bookings, which go out on the long flows.
	BookingsPerSecond float64
	// BookingWork is the time that the backend server takes for a booking.
	BookingWork time.Duration
}

// Config describes a run.
type Config struct {
	// Targets are the services under load.
	Targets []Target
	// TLS holds the trusted certificates.
	TLS *tls.Config
	// Duration is the time in which requests begin.
	Duration time.Duration
	// RequestTimeout bounds each request, waits between its tries included.
	RequestTimeout time.Duration
	// IdleTimeout ends a connection that hears nothing.
	IdleTimeout time.Duration
	// Seed fixes the arrivals.
	Seed uint64
	// Ledgers are the ledger files of the backend servers, which bookings are checked against.
	Ledgers []string
	// Metrics are the processes whose use of resources is reported.
	Metrics []MetricsSource
	// Progress gets a line every few seconds. It may be nil.
	Progress func(line string)
}

// Validate returns an error of kind errkind.Invalid that names the bad field, or nil.
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
		return invalid("bookings of "+t.Name, m.BookingsPerSecond, "hold at least one long flow that is no feed, to book on")
	}
	return nil
}

func invalid(field string, value any, remedy string) error {
	return errkind.New(errkind.Invalid, fmt.Sprintf("load setting %s has the bad value %v", field, value), remedy)
}
