package platform

import (
	"net/http"
	"time"

	"github.com/almondledge/almondledge/internal/store/etcdapi"
)

// lease is a granted lease. Its keys are removed when it ends.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// expireLocked ends the leases that have expired.
func (p *Platform) expireLocked() {
	now := p.now()
	expired := false
	for id, l := range p.leases {
		if !now.Before(l.expires) {
			p.dropLeaseLocked(id)
			expired = true
		}
	}
	if expired {
		p.wakeLocked()
	}
}

// dropLeaseLocked ends a lease and removes its keys in one revision.
func (p *Platform) dropLeaseLocked(id int64) {
	delete(p.leases, id)
	next := p.data.revision + 1
	for _, key := range p.data.keys {
		if kv, ok := p.data.get(key, p.data.revision); ok && int64(kv.Lease) == id {
			p.data.remove(key, next)
		}
	}
}

func (p *Platform) serveGrant(w http.ResponseWriter, _ *http.Request, body []byte) {
	var request etcdapi.LeaseGrantRequest
	if !decode(w, body, &request) {
		return
	}
	if request.TTL < 1 {
		fail(w, http.StatusBadRequest, etcdapi.CodeInvalidArgument, "etcdserver: bad TTL")
		return
	}
	p.mu.Lock()
	p.expireLocked()
	id := p.nextLease
	p.nextLease++
	ttl := time.Duration(request.TTL) * time.Second
	p.leases[id] = &lease{ttl: ttl, expires: p.now().Add(ttl)}
	answer := etcdapi.LeaseGrantResponse{Header: p.headerLocked(), ID: etcdapi.Int64(id), TTL: request.TTL}
	p.mu.Unlock()
	reply(w, answer)
}

func (p *Platform) serveKeepAlive(w http.ResponseWriter, _ *http.Request, body []byte) {
	var request etcdapi.LeaseRequest
	if !decode(w, body, &request) {
		return
	}
	var answer etcdapi.LeaseKeepAliveResponse
	answer.Result.ID = request.ID
	p.mu.Lock()
	p.expireLocked()
	if l := p.leases[int64(request.ID)]; l != nil {
		l.expires = p.now().Add(l.ttl)
		answer.Result.TTL = etcdapi.Int64(l.ttl / time.Second)
	}
	answer.Result.Header = p.headerLocked()
	p.mu.Unlock()
	reply(w, answer)
}

func (p *Platform) serveRevoke(w http.ResponseWriter, _ *http.Request, body []byte) {
	var request etcdapi.LeaseRequest
	if !decode(w, body, &request) {
		return
	}
	p.mu.Lock()
	p.expireLocked()
	known := p.leases[int64(request.ID)] != nil
	if known {
		p.dropLeaseLocked(int64(request.ID))
		p.wakeLocked()
	}
	answer := etcdapi.LeaseRevokeResponse{Header: p.headerLocked()}
	p.mu.Unlock()
	if !known {
		fail(w, http.StatusNotFound, etcdapi.CodeNotFound, "etcdserver: requested lease not found")
		return
	}
	reply(w, answer)
}
