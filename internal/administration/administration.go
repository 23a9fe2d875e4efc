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

// statusPollInterval is how often Spread checks the replies to a status query.
const statusPollInterval = 50 * time.Millisecond

// Instance returns the identity of a process for answers of the administration API.
func Instance(common settings.Common) adminapi.Instance {
	return adminapi.Instance{
		Address:    common.Address,
		Role:       string(common.Role),
		DataCentre: common.DataCentre,
		Region:     common.Region,
	}
}

// Configuration implements adminapi.Configuration for the control plane of one
// process.
type Configuration struct {
	Driver *controlplane.Driver
}

// Services returns the revision of the active configuration and its services,
// sorted by ID.
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

// Spread queries which processes have applied a revision. It returns when all data
// centres have answered or ctx ends.
func (c Configuration) Spread(ctx context.Context, revision int64) (adminapi.Spread, error) {
	c.Driver.QueryStatus(revision)
	ticker := time.NewTicker(statusPollInterval)
	defer ticker.Stop()
	for {
		status := c.Driver.Status()
		if isComplete(status) {
			return spreadOf(revision, status), nil
		}
		select {
		case <-ctx.Done():
			return spreadOf(revision, c.Driver.Status()), nil
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

func spreadOf(revision int64, status control.Status) adminapi.Spread {
	result := adminapi.Spread{Revision: revision}
	for _, dataCentre := range status.DataCentres {
		result.DataCentres = append(result.DataCentres, adminapi.DataCentreSpread(dataCentre))
	}
	return result
}

// Tickets implements adminapi.Tickets: it submits change tickets and reads the
// audit records.
type Tickets struct {
	ticket.Submitter
	ticket.History
}

// NewTickets returns Tickets that use the given store.
func NewTickets(s store.Store) *Tickets {
	return &Tickets{Submitter: ticket.Submitter{Store: s}, History: ticket.History{Store: s}}
}
