package presence

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/service"
)

// Candidate is a member that may be offered new flows.
type Candidate struct {
	member.Member
	// Weight is its relative share of new flows.
	Weight float64
}

// Candidates returns the routable agents of a service, sorted by address. It
// returns agents of unreachable data centres only if no other agent is routable.
func (t *Table) Candidates(now time.Time, id service.ID) []Candidate {
	list := t.candidates(now, id, true)
	if len(list) == 0 && len(t.unreachable) > 0 {
		list = t.candidates(now, id, false)
	}
	return list
}

func (t *Table) candidates(now time.Time, id service.ID, reachable bool) []Candidate {
	var list []Candidate
	for key := range t.services[id] {
		if reachable && t.unreachable[key.DataCentre] {
			continue
		}
		for _, r := range t.groups[key].members {
			if t.Routable(now, r) {
				list = append(list, Candidate{Member: r.Member, Weight: t.Weight(now, r)})
			}
		}
	}
	slices.SortFunc(list, func(a, b Candidate) int { return a.Addr.Compare(b.Addr) })
	return list
}

// SetReachable records whether this node can exchange messages with a data centre.
func (t *Table) SetReachable(dataCentre string, reachable bool) {
	if reachable {
		delete(t.unreachable, dataCentre)
	} else {
		t.unreachable[dataCentre] = true
	}
	for _, key := range t.agentGroups[dataCentre] {
		t.changed[key.Service] = true
	}
	t.version++
}

// TakeChanged returns the services whose candidates may have changed since the last
// call, sorted by ID. With timed set it includes services whose candidates change
// with time alone because an agent is warming or has failed.
func (t *Table) TakeChanged(timed bool) []service.ID {
	if timed {
		for id := range t.timeDependent {
			t.changed[id] = true
		}
	}
	ids := make([]service.ID, 0, len(t.changed))
	for id := range t.changed {
		ids = append(ids, id)
	}
	clear(t.changed)
	slices.SortFunc(ids, cmp.Compare)
	return ids
}

// markChanged marks the service of r as changed, and adds delta to its count of
// time-dependent agents if r is time-dependent.
func (t *Table) markChanged(r *Record, delta int) {
	if r.Kind != member.Agent {
		return
	}
	t.changed[r.Service] = true
	if r.State == member.Warming || !r.failedAt.IsZero() {
		t.timeDependent[r.Service] += delta
		if t.timeDependent[r.Service] == 0 {
			delete(t.timeDependent, r.Service)
		}
	}
}

// link adds a new group to the indexes.
func (t *Table) link(key GroupKey) {
	if key.Kind == member.Balancer {
		at, found := slices.BinarySearch(t.dataCentres, key.DataCentre)
		if !found {
			t.dataCentres = slices.Insert(t.dataCentres, at, key.DataCentre)
		}
		return
	}
	if t.services[key.Service] == nil {
		t.services[key.Service] = map[GroupKey]bool{}
	}
	t.services[key.Service][key] = true
	t.agentGroups[key.DataCentre] = append(t.agentGroups[key.DataCentre], key)
}

// unlink removes an empty group from the indexes.
func (t *Table) unlink(key GroupKey) {
	if key.Kind == member.Balancer {
		if at, found := slices.BinarySearch(t.dataCentres, key.DataCentre); found {
			t.dataCentres = slices.Delete(t.dataCentres, at, at+1)
		}
		return
	}
	delete(t.services[key.Service], key)
	if len(t.services[key.Service]) == 0 {
		delete(t.services, key.Service)
	}
	groups := t.agentGroups[key.DataCentre]
	groups = slices.DeleteFunc(groups, func(k GroupKey) bool { return k == key })
	t.agentGroups[key.DataCentre] = groups
	if len(groups) == 0 {
		delete(t.agentGroups, key.DataCentre)
	}
}

// DataCentres returns the data centres that have balancers, sorted.
func (t *Table) DataCentres() []string { return t.dataCentres }

// AgentDataCentres returns the data centres that have agents, sorted.
func (t *Table) AgentDataCentres() []string {
	return slices.Sorted(maps.Keys(t.agentGroups))
}

// Agents calls visit for each remembered agent of a data centre, in a stable order.
func (t *Table) Agents(dataCentre string, visit func(*Record)) {
	for _, key := range t.agentGroups[dataCentre] {
		for _, r := range t.groups[key].members {
			visit(r)
		}
	}
}

// Balancers returns the remembered balancers of a data centre, including dead ones.
func (t *Table) Balancers(dataCentre string) []*Record {
	return t.Group(GroupKey{DataCentre: dataCentre, Kind: member.Balancer})
}
