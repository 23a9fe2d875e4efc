package platform

import (
	"sort"

	"github.com/almondledge/almondledge/internal/store/etcdapi"
)

// version is the state of a key from one revision on.
type version struct {
	kv      etcdapi.KeyValue
	deleted bool
}

// change names the key that a revision changed.
type change struct {
	revision int64
	key      string
}

// keyspace is a multi-version map. It is not safe for concurrent use.
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

// at returns the version of key that was in force at revision.
func (k *keyspace) at(key string, revision int64) (version, bool) {
	list := k.versions[key]
	i := sort.Search(len(list), func(i int) bool { return int64(list[i].kv.ModRevision) > revision })
	if i == 0 {
		return version{}, false
	}
	return list[i-1], true
}

// live returns the value of key at revision, or zero if it does not exist.
func (k *keyspace) live(key string, revision int64) (etcdapi.KeyValue, bool) {
	v, ok := k.at(key, revision)
	if !ok || v.deleted {
		return etcdapi.KeyValue{}, false
	}
	return v.kv, true
}

// put writes key at revision, which the caller has already advanced to.
func (k *keyspace) put(key string, value []byte, lease int64, revision int64) {
	kv := etcdapi.KeyValue{
		Key: []byte(key), Value: value, Lease: etcdapi.Int64(lease),
		CreateRevision: etcdapi.Int64(revision), ModRevision: etcdapi.Int64(revision), Version: 1,
	}
	if old, ok := k.live(key, revision); ok {
		kv.CreateRevision = old.CreateRevision
		kv.Version = old.Version + 1
	}
	k.add(key, version{kv: kv}, revision)
}

// remove deletes key at revision and reports whether it existed.
func (k *keyspace) remove(key string, revision int64) bool {
	if _, ok := k.live(key, revision); !ok {
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

// inRange reports whether key lies in the range of the gateway's rules.
func inRange(key string, from, end []byte) bool {
	if len(end) == 0 {
		return key == string(from)
	}
	unbounded := len(end) == 1 && end[0] == 0
	return key >= string(from) && (unbounded || key < string(end))
}

// scan returns the live keys of a range at revision.
func (k *keyspace) scan(request etcdapi.RangeRequest, revision int64) etcdapi.RangeResponse {
	var answer etcdapi.RangeResponse
	for i := sort.SearchStrings(k.keys, string(request.Key)); i < len(k.keys); i++ {
		if !inRange(k.keys[i], request.Key, request.RangeEnd) {
			break
		}
		kv, ok := k.live(k.keys[i], revision)
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

// since returns the events of a range from revision on.
func (k *keyspace) since(from, end []byte, revision int64) []etcdapi.Event {
	var events []etcdapi.Event
	i := sort.Search(len(k.log), func(i int) bool { return k.log[i].revision >= revision })
	for ; i < len(k.log); i++ {
		entry := k.log[i]
		if !inRange(entry.key, from, end) {
			continue
		}
		v, _ := k.at(entry.key, entry.revision)
		event := etcdapi.Event{KV: v.kv}
		if v.deleted {
			event.Type = etcdapi.EventDelete
		}
		events = append(events, event)
	}
	return events
}

// compact forgets what is only needed to read or watch before revision.
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

// restore goes back to an older, not compacted revision.
func (k *keyspace) restore(revision int64) {
	k.revision = min(max(revision, k.compacted), k.revision)
	i := sort.Search(len(k.log), func(i int) bool { return k.log[i].revision > k.revision })
	k.log = k.log[:i]
	for key, list := range k.versions {
		i := sort.Search(len(list), func(i int) bool { return int64(list[i].kv.ModRevision) > k.revision })
		k.versions[key] = list[:i]
	}
}
