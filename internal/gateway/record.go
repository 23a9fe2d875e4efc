package gateway

import "github.com/almondledge/almondledge/internal/idempotency"

// settler settles the record of a request: the first call counts.
type settler interface {
	refuse()
	finish(o idempotency.Outcome)
	lose()
}

// noRecord is the settler of a request without a record.
type noRecord struct{}

func (noRecord) refuse()                    {}
func (noRecord) finish(idempotency.Outcome) {}
func (noRecord) lose()                      {}

// keyRecord settles the record of a key that this agent granted.
type keyRecord struct {
	g   *Gateway
	key idempotency.Key
}

func (k keyRecord) refuse() {
	now := k.g.cfg.Now()
	k.g.mu.Lock()
	defer k.g.mu.Unlock()
	k.g.shared.ledger.Refuse(now, k.key)
}

func (k keyRecord) finish(o idempotency.Outcome) {
	now := k.g.cfg.Now()
	k.g.mu.Lock()
	defer k.g.mu.Unlock()
	k.g.shared.ledger.Finish(now, k.key, o)
}

func (k keyRecord) lose() {
	now := k.g.cfg.Now()
	k.g.mu.Lock()
	defer k.g.mu.Unlock()
	k.g.shared.ledger.Lose(now, k.key)
}

// grantRecord settles the record of a grant that this agent executes.
type grantRecord struct {
	g     *Gateway
	grant idempotency.Grant
}

func (r grantRecord) refuse() {
	now := r.g.cfg.Now()
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	r.g.shared.grants.Refuse(now, r.grant)
}

func (r grantRecord) finish(o idempotency.Outcome) {
	now := r.g.cfg.Now()
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	r.g.shared.grants.Finish(now, r.grant, o)
}

func (r grantRecord) lose() {
	now := r.g.cfg.Now()
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	r.g.shared.grants.Lose(now, r.grant)
}
