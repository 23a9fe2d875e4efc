package platform

import (
	"sort"

	"github.com/almondledge/almondledge/internal/store/etcdapi"
)

// version is the state of a key from its revision on.
type version struct {
	kv      etcdapi.KeyValue
	deleted bool
}

// change records that a revision changed a key.
type change struct {
	revision int64
	key      string
}

// keyspace is a multi-version map. Revisions before compacted are discarded. It is
// not safe for concurrent use.
type keyspace struct {
	revision  int64
	compacted int64
	versions  map[string][]version
	keys      []string
	log       []change
}

func newKeyspace() *keyspace {
	return &keyspace{revision: 1, versions: make(map[string][]version)}
}

// versionAt returns the latest version of key up to revision. It may be a deletion.
func (k *keyspace) versionAt(key string, revision int64) (version, bool) {
	list := k.versions[key]
	i := sort.Search(len(list), func(i int) bool { return int64(list[i].kv.ModRevision) > revision })
	if i == 0 {
		return version{}, false
	}
	return list[i-1], true
}

// get returns the value of key at revision, and false if the key did not exist.
func (k *keyspace) get(key string, revision int64) (etcdapi.KeyValue, bool) {
	v, ok := k.versionAt(key, revision)
	if !ok || v.deleted {
		return etcdapi.KeyValue{}, false
	}
	return v.kv, true
}

// put writes key at revision, which becomes the current revision. The operations
// of one transaction share a revision.
func (k *keyspace) put(key string, value []byte, lease int64, revision int64) {
	kv := etcdapi.KeyValue{
		Key: []byte(key), Value: value, Lease: etcdapi.Int64(lease),
		CreateRevision: etcdapi.Int64(revision), ModRevision: etcdapi.Int64(revision), Version: 1,
	}
	if old, ok := k.get(key, revision); ok {
		kv.CreateRevision = old.CreateRevision
		kv.Version = old.Version + 1
	}
	k.add(key, version{kv: kv}, revision)
}

// remove deletes key at revision and reports whether it existed.
func (k *keyspace) remove(key string, revision int64) bool {
	if _, ok := k.get(key, revision); !ok {
		return false
	}
	tombstone := etcdapi.KeyValue{Key: []byte(key), ModRevision: etcdapi.Int64(revision)}
	k.add(key, version{kv: tombstone, deleted: true}, revision)
	return true
}

func (k *keyspace) add(key string, v version, revision int64) {
	if _, known := k.versions[key]; !known {
		i := sort.SearchStrings(k.keys, key)
		k.keys = append(k.keys, "")
		copy(k.keys[i+1:], k.keys[i:])
		k.keys[i] = key
	}
	k.versions[key] = append(k.versions[key], v)
	k.log = append(k.log, change{revision: revision, key: key})
	k.revision = revision
}

// inRange reports whether key is in a range of the gateway: the single key from if
// end is empty, all keys not below from if end is a zero byte, [from, end) otherwise.
func inRange(key string, from, end []byte) bool {
	if len(end) == 0 {
		return key == string(from)
	}
	unbounded := len(end) == 1 && end[0] == 0
	return key >= string(from) && (unbounded || key < string(end))
}

// scan returns the keys of a range that exist at revision.
func (k *keyspace) scan(request etcdapi.RangeRequest, revision int64) etcdapi.RangeResponse {
	var answer etcdapi.RangeResponse
	for i := sort.SearchStrings(k.keys, string(request.Key)); i < len(k.keys); i++ {
		if !inRange(k.keys[i], request.Key, request.RangeEnd) {
			break
		}
		kv, ok := k.get(k.keys[i], revision)
		if !ok || kv.ModRevision < request.MinModRevision {
			continue
		}
		if request.Limit > 0 && len(answer.KVs) == int(request.Limit) {
			answer.More = true
			break
		}
		if request.KeysOnly {
			kv.Value = nil
		}
		answer.KVs = append(answer.KVs, kv)
	}
	answer.Count = etcdapi.Int64(len(answer.KVs))
	return answer
}

// eventsSince returns the events of a range from revision on.
func (k *keyspace) eventsSince(from, end []byte, revision int64) []etcdapi.Event {
	var events []etcdapi.Event
	i := sort.Search(len(k.log), func(i int) bool { return k.log[i].revision >= revision })
	for ; i < len(k.log); i++ {
		entry := k.log[i]
		if !inRange(entry.key, from, end) {
			continue
		}
		v, _ := k.versionAt(entry.key, entry.revision)
		event := etcdapi.Event{KV: v.kv}
		if v.deleted {
			event.Type = etcdapi.EventDelete
		}
		events = append(events, event)
	}
	return events
}

// compact discards versions and events that only reads and watches before revision need.
func (k *keyspace) compact(revision int64) {
	k.compacted = min(max(k.compacted, revision), k.revision)
	i := sort.Search(len(k.log), func(i int) bool { return k.log[i].revision > k.compacted })
	k.log = append([]change(nil), k.log[i:]...)
	for key, list := range k.versions {
		i := sort.Search(len(list), func(i int) bool { return int64(list[i].kv.ModRevision) > k.compacted })
		if i > 1 {
			k.versions[key] = append([]version(nil), list[i-1:]...)
		}
	}
}

// restore returns to the state of an older revision that is not compacted.
func (k *keyspace) restore(revision int64) {
	k.revision = min(max(revision, k.compacted), k.revision)
	i := sort.Search(len(k.log), func(i int) bool { return k.log[i].revision > k.revision })
	k.log = k.log[:i]
	for key, list := range k.versions {
		i := sort.Search(len(list), func(i int) bool { return int64(list[i].kv.ModRevision) > k.revision })
		k.versions[key] = list[:i]
	}
}
