package platform

import (
	"net/http"

	"github.com/almondledge/almondledge/internal/store/etcdapi"
)

func (p *Platform) serveRange(w http.ResponseWriter, _ *http.Request, body []byte) {
	var request etcdapi.RangeRequest
	if !decode(w, body, &request) {
		return
	}
	p.mu.Lock()
	p.expireLocked()
	answer, ok := p.rangeLocked(request)
	p.mu.Unlock()
	if !ok {
		fail(w, http.StatusBadRequest, etcdapi.CodeOutOfRange, "etcdserver: mvcc: required revision has been compacted")
		return
	}
	reply(w, answer)
}

// rangeLocked reads a range; ok is false if the revision is compacted or not reached yet.
func (p *Platform) rangeLocked(request etcdapi.RangeRequest) (answer etcdapi.RangeResponse, ok bool) {
	revision := int64(request.Revision)
	if revision == 0 {
		revision = p.data.revision
	}
	if revision < p.data.compacted || revision > p.data.revision {
		return answer, false
	}
	answer = p.data.scan(request, revision)
	answer.Header = p.headerLocked()
	return answer, true
}

func (p *Platform) serveTxn(w http.ResponseWriter, _ *http.Request, body []byte) {
	var request etcdapi.TxnRequest
	if !decode(w, body, &request) {
		return
	}
	p.mu.Lock()
	p.expireLocked()
	problem := p.validateTxnLocked(request)
	var answer etcdapi.TxnResponse
	if problem == "" {
		answer = p.applyTxnLocked(request)
	}
	p.mu.Unlock()
	if problem != "" {
		fail(w, http.StatusBadRequest, etcdapi.CodeInvalidArgument, problem)
		return
	}
	reply(w, answer)
}

// validateTxnLocked returns the error message for an invalid transaction, or an empty string.
func (p *Platform) validateTxnLocked(request etcdapi.TxnRequest) string {
	operations := max(len(request.Compare), len(request.Success), len(request.Failure))
	if operations > etcdapi.MaxTxnOps {
		return "etcdserver: too many operations in txn request"
	}
	written := make(map[string]bool)
	for _, op := range request.Success {
		key := ""
		switch {
		case op.Put != nil:
			key = string(op.Put.Key)
			if len(op.Put.Value) > MaxValueBytes {
				return "etcdserver: request is too large"
			}
			if id := int64(op.Put.Lease); id != 0 && p.leases[id] == nil {
				return "etcdserver: requested lease not found"
			}
		case op.DeleteRange != nil:
			key = string(op.DeleteRange.Key)
		default:
			continue
		}
		if written[key] {
			return "etcdserver: duplicate key given in txn request"
		}
		written[key] = true
	}
	return ""
}

// applyTxnLocked carries out a validated transaction. All its writes get one revision.
func (p *Platform) applyTxnLocked(request etcdapi.TxnRequest) etcdapi.TxnResponse {
	answer := etcdapi.TxnResponse{Succeeded: true}
	for _, c := range request.Compare {
		kv, _ := p.data.get(string(c.Key), p.data.revision)
		if kv.ModRevision != c.ModRevision {
			answer.Succeeded = false
		}
	}
	ops := request.Success
	if !answer.Succeeded {
		ops = request.Failure
	}
	next := p.data.revision + 1
	for _, op := range ops {
		answer.Responses = append(answer.Responses, p.applyOpLocked(op, next))
	}
	if p.data.revision == next {
		p.wakeLocked()
	}
	answer.Header = p.headerLocked()
	return answer
}

// applyOpLocked carries out one operation; a write gets revision next.
func (p *Platform) applyOpLocked(op etcdapi.RequestOp, next int64) etcdapi.ResponseOp {
	switch {
	case op.Put != nil:
		p.data.put(string(op.Put.Key), op.Put.Value, int64(op.Put.Lease), next)
		return etcdapi.ResponseOp{Put: &etcdapi.PutResponse{}}
	case op.DeleteRange != nil:
		answer := &etcdapi.DeleteRangeResponse{}
		if p.data.remove(string(op.DeleteRange.Key), next) {
			answer.Deleted = 1
		}
		return etcdapi.ResponseOp{DeleteRange: answer}
	case op.Range != nil:
		answer := p.data.scan(*op.Range, p.data.revision)
		return etcdapi.ResponseOp{Range: &answer}
	default:
		return etcdapi.ResponseOp{}
	}
}
