// Package etcdapi defines the messages of the published etcd v3 JSON/HTTP gateway
// that almondledge uses. Keys and values are encoded in base64, 64-bit integers as
// decimal strings, and zero fields are omitted.
package etcdapi

import (
	"strconv"
	"strings"
)

// Paths of the gateway. All use the method POST.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// Values of Compare.Target, Compare.Result and Event.Type.
const (
	TargetMod   = "MOD"
	ResultEqual = "EQUAL"
	EventPut    = "PUT"
	EventDelete = "DELETE"
)

// Status codes that the gateway reports in Status.Code.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeUnavailable       = 14
)

// MaxTxnOps is the maximum number of comparisons, and of operations, that a store
// with the default configuration accepts in one transaction.
const MaxTxnOps = 128

// Int64 is encoded in JSON as a string and decoded from a string or a number.
type Int64 int64

// MarshalJSON encodes the integer as a string.
func (i Int64) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(i), 10) + `"`), nil
}

// UnmarshalJSON decodes the integer from a string or a number.
func (i *Int64) UnmarshalJSON(data []byte) error {
	text := strings.Trim(string(data), `"`)
	if text == "null" {
		return nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	*i = Int64(value)
	return err
}

// Uint64 is encoded in JSON as a string and decoded from a string or a number.
type Uint64 uint64

// MarshalJSON encodes the integer as a string.
func (u Uint64) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatUint(uint64(u), 10) + `"`), nil
}

// UnmarshalJSON decodes the integer from a string or a number.
func (u *Uint64) UnmarshalJSON(data []byte) error {
	text := strings.Trim(string(data), `"`)
	if text == "null" {
		return nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	*u = Uint64(value)
	return err
}

// Header is part of every answer.
type Header struct {
	ClusterID Uint64 `json:"cluster_id,omitempty"`
	Revision  Int64  `json:"revision,omitempty"`
}

// KeyValue is one key with its value.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
	Version        Int64  `json:"version,omitempty"`
	Lease          Int64  `json:"lease,omitempty"`
}

// RangeRequest reads the keys from Key up to but not including RangeEnd, or the
// single key Key when RangeEnd is empty.
type RangeRequest struct {
	Key            []byte `json:"key,omitempty"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	Limit          Int64  `json:"limit,omitempty"`
	Revision       Int64  `json:"revision,omitempty"`
	KeysOnly       bool   `json:"keys_only,omitempty"`
	MinModRevision Int64  `json:"min_mod_revision,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  Int64      `json:"count,omitempty"`
}

// Compare is a condition of a transaction.
type Compare struct {
	Result string `json:"result,omitempty"`
	Target string `json:"target,omitempty"`
	Key    []byte `json:"key,omitempty"`
	// ModRevision is encoded even if it is zero, which requires that the key does
	// not exist.
	ModRevision Int64 `json:"mod_revision"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease Int64  `json:"lease,omitempty"`
}

// DeleteRangeRequest deletes one key.
type DeleteRangeRequest struct {
	Key []byte `json:"key,omitempty"`
}

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	Range       *RangeRequest       `json:"request_range,omitempty"`
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// ResponseOp is the answer to one RequestOp.
type ResponseOp struct {
	Range       *RangeResponse       `json:"response_range,omitempty"`
	Put         *PutResponse         `json:"response_put,omitempty"`
	DeleteRange *DeleteRangeResponse `json:"response_delete_range,omitempty"`
}

// PutResponse answers a PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// DeleteRangeResponse answers a DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  Header `json:"header"`
	Deleted Int64  `json:"deleted,omitempty"`
}

// TxnRequest applies Success if every comparison holds, else Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// LeaseGrantRequest requests a lease of TTL seconds.
type LeaseGrantRequest struct {
	TTL Int64 `json:"TTL,omitempty"`
	ID  Int64 `json:"ID,omitempty"`
}

// LeaseGrantResponse answers a LeaseGrantRequest.
type LeaseGrantResponse struct {
	Header Header `json:"header"`
	ID     Int64  `json:"ID,omitempty"`
	TTL    Int64  `json:"TTL,omitempty"`
}

// LeaseRequest renews or revokes a lease.
type LeaseRequest struct {
	ID Int64 `json:"ID,omitempty"`
}

// LeaseRevokeResponse answers a LeaseRequest to PathRevoke.
type LeaseRevokeResponse struct {
	Header Header `json:"header"`
}

// LeaseKeepAliveResponse answers a LeaseRequest to PathKeepAlive. A TTL of zero
// means that the lease does not exist.
type LeaseKeepAliveResponse struct {
	Result struct {
		Header Header `json:"header"`
		ID     Int64  `json:"ID,omitempty"`
		TTL    Int64  `json:"TTL,omitempty"`
	} `json:"result"`
	Error *Status `json:"error,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreateRequest `json:"create_request"`
}

// WatchCreateRequest describes the keys and the first revision of a watch.
type WatchCreateRequest struct {
	Key            []byte `json:"key,omitempty"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  Int64  `json:"start_revision,omitempty"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// WatchMessage is one message of the watch stream.
type WatchMessage struct {
	Result *WatchResult `json:"result,omitempty"`
	Error  *Status      `json:"error,omitempty"`
}

// WatchResult reports the creation, the cancellation or the events of a watch.
type WatchResult struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision Int64   `json:"compact_revision,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// Event is one change. An empty Type is a put.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// Status is the body of a failed call.
type Status struct {
	Code    int    `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}

// PrefixEnd returns the RangeEnd of the range of all keys that start with prefix.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
