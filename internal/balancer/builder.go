package balancer

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/almondledge/almondledge/internal/service"
)

// tableChanges collects the changes since the last update of the routing table.
type tableChanges struct {
	mu       sync.Mutex
	catalog  bool
	services map[service.ID]struct{}
}

// addCatalog records that the configuration has changed.
func (c *tableChanges) addCatalog() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.catalog = true
}

// addServices records services whose candidates have changed.
func (c *tableChanges) addServices(ids []service.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.services == nil {
		c.services = make(map[service.ID]struct{})
	}
	for _, id := range ids {
		c.services[id] = struct{}{}
	}
}

// take returns the collected changes and clears them.
func (c *tableChanges) take() (catalog bool, ids []service.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	catalog = c.catalog
	ids = slices.Collect(maps.Keys(c.services))
	c.catalog = false
	c.services = nil
	return catalog, ids
}

func (b *Balancer) requestTableUpdate() {
	select {
	case b.tableUpdate <- struct{}{}:
	default:
	}
}

// buildTables keeps the routing table up to date. A configuration change builds a
// new table. A change of agents only replaces the agents of the affected services,
// because such changes are frequent and building a table takes milliseconds.
func (b *Balancer) buildTables(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.tableUpdate:
		}
		b.updateTable()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(minTableInterval):
		}
	}
}

func (b *Balancer) updateTable() {
	catalogChanged, ids := b.pending.take()
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
