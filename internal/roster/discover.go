package roster

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/logging"
)

const (
	// readTimeout bounds one read of the rosters.
	readTimeout = time.Second
	// viewPeriod is the time between two looks at the view of the members.
	viewPeriod = 250 * time.Millisecond
)

// DiscoverConfig configures Discover.
type DiscoverConfig struct {
	// Reader reads the rosters.
	Reader Reader
	// DataCentre is the data centre whose roster is read, or AllDataCentres.
	DataCentre string
	// FirstRead is the delay of the first read. A process that knows another member by then does not need it.
	FirstRead time.Duration
	// View returns what this process knows of the other members.
	View func() View
	// Found receives the addresses of the balancers in the roster after each read.
	Found func([]netip.AddrPort)
	// Random returns numbers in [0, 1). Nil means math/rand.
	Random func() float64
	// Log receives one event for each changed result of a read. Nil means the default logger.
	Log log.Interface
}

// discoverer reads the rosters when a Discovery requires it.
type discoverer struct {
	DiscoverConfig
	discovery *Discovery
	// found and kind are the result that was last logged; logged is set once there is one.
	found  []netip.AddrPort
	kind   errkind.Kind
	logged bool
}

// Discover reads the rosters until ctx ends, at the times at which a Discovery requires it. A roster may be empty, outdated
// or out of reach at any one of them, so no result of a read is final.
func Discover(ctx context.Context, cfg DiscoverConfig) {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	if cfg.Log == nil {
		cfg.Log = log.Log
	}
	d := &discoverer{DiscoverConfig: cfg, discovery: NewDiscovery(time.Now(), cfg.FirstRead, cfg.Random)}
	for ctx.Err() == nil {
		now := time.Now()
		view := d.View()
		if due := d.discovery.Next(now, view); due.After(now) {
			wait(ctx, min(due.Sub(now), viewPeriod))
			continue
		}
		d.read(ctx, view)
	}
}

// wait waits for a time or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// read reads the rosters once.
func (d *discoverer) read(ctx context.Context, view View) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	found, err := Contacts(readCtx, d.Reader, d.DataCentre, nil)
	if ctx.Err() != nil {
		return
	}
	urgency := d.discovery.Urgency()
	d.discovery.HandleRead(time.Now(), err)
	if len(found) > 0 {
		d.Found(found)
	}
	d.logChange(found, err, view, urgency)
}

// logChange logs a result of a read that differs from the last one.
func (d *discoverer) logChange(found []netip.AddrPort, err error, view View, urgency Urgency) {
	kind := errkind.Of(err)
	if d.logged && kind == d.kind && slices.Equal(found, d.found) {
		return
	}
	d.found, d.kind, d.logged = found, kind, true
	entry := d.Log.WithFields(log.Fields{"contacts": len(found), "urgency": urgency, "members": view.Members})
	switch {
	case err == nil:
		entry.Info("roster read")
	case errors.Is(err, ErrDamaged):
		logging.WithError(entry, err).Warn("roster has entries of another program; they are left out")
	default:
		logging.WithError(entry, err).Warn("roster not read")
	}
}
