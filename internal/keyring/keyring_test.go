package keyring

import (
	"bytes"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/settings"
)

var now = time.Unix(1_000_000, 0)

func key(version int, fill byte) settings.PacketKey {
	return settings.PacketKey{Version: version, Secret: bytes.Repeat([]byte{fill}, settings.SecretBytes)}
}

func TestDerivedKeysDiffer(t *testing.T) {
	is := is.New(t)
	ring, err := New([]settings.PacketKey{key(0, 1), key(3, 2)})
	is.NoErr(err)
	is.Equal(ring.Current().Version, uint8(0))
	is.Equal(ring.Version(1), nil)
	is.Equal(ring.Version(8), nil)

	seen := map[string]bool{}
	for _, keys := range ring.Versions() {
		for _, derived := range [][]byte{keys.ConnectionID[:], keys.Envelope[:], keys.IdempotencyKey[:], keys.StatelessReset[:], keys.AddressToken[:]} {
			seen[string(derived[:ConnectionIDKeyBytes])] = true
		}
	}
	is.Equal(len(seen), 10) // each purpose of each version has its own key
}

func TestRotationRules(t *testing.T) {
	start := []settings.PacketKey{key(0, 1), key(1, 2)}
	recently, longAgo := now.Add(-time.Minute), now.Add(-time.Hour)
	cases := []struct {
		name    string
		next    []settings.PacketKey
		lastUse time.Time // last use of version 1
		want    errkind.Kind
	}{
		{"unchanged", start, recently, ""},
		{"add an accepted key", append(start[:2:2], key(2, 3)), recently, ""},
		{"accepted key becomes current", []settings.PacketKey{key(1, 2), key(0, 1)}, recently, ""},
		{"unused key removed", start[:1], longAgo, ""},
		{"never used key removed", start[:1], time.Unix(0, 0), ""},
		{"used key removed", start[:1], recently, errkind.Conflict},
		{"secret changed", []settings.PacketKey{key(0, 1), key(1, 9)}, recently, errkind.Invalid},
		{"unknown key becomes current", []settings.PacketKey{key(2, 3), key(0, 1), key(1, 2)}, recently, errkind.Invalid},
		{"current key removed", []settings.PacketKey{key(1, 2)}, recently, errkind.Invalid},
		{"no key", nil, recently, errkind.Invalid},
		{"version out of range", append(start[:2:2], key(8, 3)), recently, errkind.Invalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ring, err := New(start)
			is.NoErr(err)
			ring.Version(1).MarkUsed(c.lastUse)
			before := ring.Current()

			err = ring.Replace(c.next, now)
			is.Equal(errkind.Of(err), c.want)
			if err != nil {
				is.Equal(ring.Current(), before)
				is.Equal(len(ring.Versions()), 2)
				return
			}
			is.Equal(ring.Current().Version, uint8(c.next[0].Version))
			is.Equal(len(ring.Versions()), len(c.next))
		})
	}
}

func TestReplaceKeepsLastUse(t *testing.T) {
	is := is.New(t)
	ring, err := New([]settings.PacketKey{key(0, 1)})
	is.NoErr(err)
	is.True(ring.Current().LastUse().IsZero())
	ring.Current().MarkUsed(now)
	ring.Current().MarkUsed(now.Add(-time.Hour)) // an older time must not change the last use
	is.NoErr(ring.Replace([]settings.PacketKey{key(0, 1), key(1, 2)}, now))
	is.Equal(ring.Version(0).LastUse(), now)
}

func TestMetricsShowTheUseOfEachVersion(t *testing.T) {
	is := is.New(t)
	ring, err := New([]settings.PacketKey{key(1, 1), key(0, 2)})
	is.NoErr(err)
	ring.Version(0).MarkUsed(now)
	set := metrics.NewSet()
	ring.Register(set)
	var out bytes.Buffer
	set.WritePrometheus(&out)
	is.Equal(out.String(), `almondledge_packet_key_last_use_seconds{version="0"} 1000000
almondledge_packet_key_current{version="0"} 0
almondledge_packet_key_last_use_seconds{version="1"} 0
almondledge_packet_key_current{version="1"} 1
`)
}
