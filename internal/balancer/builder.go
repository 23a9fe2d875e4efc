package balancer

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/almondledge/almondledge/internal/service"
)

// changes collects what has changed since the routing table was brought up to date.
type changes struct {
	mu       sync.Mutex
	catalog  bool
	services map[service.ID]struct{}
}

// addCatalog notes that the configuration has changed.
func (c *changes) addCatalog() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.catalog = true
}

// addServices notes services whose candidates have changed.
func (c *changes) addServices(ids []service.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.services == nil {
		c.services = make(map[service.ID]struct{})
	}
	for _, id := range ids {
		c.services[id] = struct{}{}
	}
}

// take returns what was noted and forgets it.
func (c *changes) take() (catalog bool, ids []service.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	catalog = c.catalog
	ids = slices.Collect(maps.Keys(c.services))
	c.catalog = false
	c.services = nil
	return catalog, ids
}

func (b *Balancer) wakeBuilder() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// buildTables keeps the routing table up to date. A change of the configuration
// builds a new table; a change of presence replaces the agents of the services
// that it concerns, because it comes often and a new table costs milliseconds.
func (b *Balancer) buildTables(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.changed:
		}
		b.updateTable()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(tablePause):
		}
	}
}

func (b *Balancer) updateTable() {
	catalogChanged, ids := b.changes.take()
	config := b.driver.Catalog()
	if catalogChanged {
		table, limits := buildTable(config, b.driver.Candidates, b.forwarder.Table())
		b.forwarder.SetTable(table, limits)
		return
	}
	table := b.forwarder.Table()
	for _, id := range ids {
		if entry, ok := config.ByID(id); ok {
			table.SetAgents(id, allowedAgents(&entry.Spec, b.driver.Candidates(id)))
		}
	}
}
