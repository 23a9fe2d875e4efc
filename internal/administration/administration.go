// Package administration connects the administration API to the control plane
// and the change tickets of one process.
package administration

import (
	"context"
	"time"

	"github.com/almondledge/almondledge/internal/adminapi"
	"github.com/almondledge/almondledge/internal/control"
	"github.com/almondledge/almondledge/internal/controlplane"
	"github.com/almondledge/almondledge/internal/settings"
	"github.com/almondledge/almondledge/internal/store"
	"github.com/almondledge/almondledge/internal/ticket"
)

// statusPoll is how often the replies to a status query are looked at.
const statusPoll = 50 * time.Millisecond

// Instance names a process in answers of the API.
func Instance(common settings.Common) adminapi.Instance {
	return adminapi.Instance{
		Address:    common.Address,
		Role:       string(common.Role),
		DataCentre: common.DataCentre,
		Region:     common.Region,
	}
}

// Configuration shows the configuration in force at one process.
type Configuration struct {
	Driver *controlplane.Driver
}

// Services returns the services in force, sorted by ID, and their revision.
func (c Configuration) Services() (int64, []adminapi.Service) {
	config := c.Driver.Catalog()
	var services []adminapi.Service
	for _, entry := range config.All() {
		if !entry.Removed {
			services = append(services, adminapi.Service{Spec: entry.Spec, Revision: entry.ModRevision})
		}
	}
	return config.Revision(), services
}

// Spread asks the fleet which processes have a revision in force, until all
// data centres have answered or ctx ends.
func (c Configuration) Spread(ctx context.Context, revision int64) (adminapi.Spread, error) {
	c.Driver.QueryStatus(revision)
	ticker := time.NewTicker(statusPoll)
	defer ticker.Stop()
	for {
		status := c.Driver.Status()
		if isComplete(status) {
			return spread(revision, status), nil
		}
		select {
		case <-ctx.Done():
			return spread(revision, c.Driver.Status()), nil
		case <-ticker.C:
		}
	}
}

func isComplete(status control.Status) bool {
	for _, dataCentre := range status.DataCentres {
		if !dataCentre.Complete {
			return false
		}
	}
	return len(status.DataCentres) > 0
}

func spread(revision int64, status control.Status) adminapi.Spread {
	result := adminapi.Spread{Revision: revision}
	for _, dataCentre := range status.DataCentres {
		result.DataCentres = append(result.DataCentres, adminapi.DataCentreSpread(dataCentre))
	}
	return result
}

// Tickets submits change tickets and reads the audit trail.
type Tickets struct {
	ticket.Submitter
	ticket.History
}

// NewTickets returns tickets on the given store.
func NewTickets(s store.Store) *Tickets {
	return &Tickets{Submitter: ticket.Submitter{Store: s}, History: ticket.History{Store: s}}
}
