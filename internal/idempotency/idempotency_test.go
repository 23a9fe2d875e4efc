package idempotency

import (
	"encoding/base64"
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start        = time.Unix(1_000_000, 0)
	granter      = netip.MustParseAddrPort("127.0.1.1:9000")
	fingerprint1 = Fingerprint{1}
	fingerprint2 = Fingerprint{2}
)

func testRing(t testing.TB, current uint8, versions ...uint8) *Keyring {
	keys := make(map[uint8][]byte)
	for _, v := range versions {
		keys[v] = []byte(strings.Repeat(string(rune('a'+v)), 16))
	}
	ring, err := NewKeyring(current, keys)
	if err != nil {
		t.Fatal(err)
	}
	return ring
}

func TestModifiedKeyIsRejected(t *testing.T) {
	is := is.New(t)
	old, both, next := testRing(t, 1, 1), testRing(t, 2, 1, 2), testRing(t, 2, 2)
	issuer := NewIssuer(granter, 42, NoncePrefix{5})
	text := issuer.Issue(start, old, 7)

	for _, form := range []string{text, strings.Trim(text, `"`)} {
		key, err := both.Open(form)
		is.NoErr(err)
		is.Equal(key, Key{Granter: granter, Incarnation: 42, Service: 7, Counter: 1, Issued: start})
		is.NoErr(key.Check(start.Add(KeyLifetime-1), 7))
		is.True(errors.Is(key.Check(start, 8), ErrOtherService))
		is.True(errors.Is(key.Check(start.Add(KeyLifetime), 7), ErrExpired))
	}
	_, err := next.Open(text)
	is.True(errors.Is(err, ErrUnknownVersion))
	_, err = both.Open("client-made")
	is.True(errors.Is(err, ErrMalformed))

	raw, err := base64.RawURLEncoding.DecodeString(strings.Trim(text, `"`))
	is.NoErr(err)
	for i := range raw {
		forged := append([]byte(nil), raw...)
		forged[i] ^= 1
		_, err := both.Open(base64.RawURLEncoding.EncodeToString(forged))
		is.True(errors.Is(err, ErrForged) || errors.Is(err, ErrUnknownVersion)) // any modified bit is detected
	}
}

func FuzzOpen(f *testing.F) {
	ring := testRing(f, 1, 1)
	valid := NewIssuer(granter, 42, NoncePrefix{5}).Issue(start, ring, 7)
	for _, seed := range []string{valid, strings.Trim(valid, `"`), "", `"`, `""`, "AQ", strings.Repeat("A", 97)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		key, err := ring.Open(text)
		if err == nil && (key.Granter != granter || key.Counter != 1) {
			t.Fatalf("opened a key that was never issued: %+v", key)
		}
	})
}

func FuzzParseGrant(f *testing.F) {
	f.Add("127.0.1.1:9000/1/2/3.4")
	f.Add("[::1]:9/0/0/0.0")
	f.Add("///")
	f.Fuzz(func(t *testing.T, text string) {
		grant, err := ParseGrant(text)
		if err != nil {
			return
		}
		again, err := ParseGrant(grant.String())
		if err != nil || again != grant {
			t.Fatalf("%q: %v changes when it is formatted and parsed", text, grant)
		}
	})
}

func TestLedgerVerdicts(t *testing.T) {
	key := Key{Granter: granter, Incarnation: 42, Service: 7, Counter: 9, Issued: start}
	changed := func(change func(*Key)) Key { k := key; change(&k); return k }
	whole := Outcome{Status: 201, Body: []byte("ok"), Whole: true}
	cases := []struct {
		name        string
		before      func(*Ledger)
		key         Key
		fingerprint Fingerprint
		after       time.Duration
		want        Verdict
	}{
		{"first use", func(*Ledger) {}, key, fingerprint1, 0, Run},
		{"in progress", func(l *Ledger) { l.Begin(start, key, fingerprint1) }, key, fingerprint1, time.Second, InProgress},
		{"in progress for days", func(l *Ledger) { l.Begin(start, key, fingerprint1) }, key, fingerprint1, KeyLifetime - 1, InProgress},
		{"finished", func(l *Ledger) { l.Begin(start, key, fingerprint1); l.Finish(start, key, whole) }, key, fingerprint1, 0, Replay},
		{"finished, then unknown", func(l *Ledger) {
			l.Begin(start, key, fingerprint1)
			l.Finish(start, key, whole)
			l.MarkUnknown(start, key)
		},
			key, fingerprint1, 0, Replay},
		{"unknown", func(l *Ledger) { l.Begin(start, key, fingerprint1); l.MarkUnknown(start, key) }, key, fingerprint1, 0, OutcomeUnknown},
		{"unknown, then refused", func(l *Ledger) { l.Begin(start, key, fingerprint1); l.MarkUnknown(start, key); l.Refuse(start, key) },
			key, fingerprint1, 0, OutcomeUnknown},
		{"refused", func(l *Ledger) { l.Begin(start, key, fingerprint1); l.Refuse(start, key) }, key, fingerprint1, 0, RefusedBefore},
		{"refused before it was read", func(l *Ledger) { l.RefuseUnlessBegun(start, key) }, key, fingerprint1, 0, RefusedBefore},
		{"other body", func(l *Ledger) { l.Begin(start, key, fingerprint1) }, key, fingerprint2, 0, KeyReused},
		{"record forgotten", func(l *Ledger) { l.Begin(start, key, fingerprint1); l.Finish(start, key, whole) },
			key, fingerprint1, recordRetention + expireInterval, OutcomeUnknown},
		{"expired key", func(*Ledger) {}, key, fingerprint1, KeyLifetime, OutcomeUnknown},
		{"clock set back", func(l *Ledger) {
			l.Begin(start.Add(KeyLifetime), changed(func(k *Key) { k.Counter = 1 }), fingerprint1)
		},
			key, fingerprint1, 0, OutcomeUnknown},
		{"earlier incarnation", func(*Ledger) {}, changed(func(k *Key) { k.Incarnation = 41 }), fingerprint1, 0, OutcomeUnknown},
		{"later incarnation", func(*Ledger) {}, changed(func(k *Key) { k.Incarnation = 43 }), fingerprint1, 0, OutcomeUnknown},
		{"other granter", func(*Ledger) {}, changed(func(k *Key) { k.Granter = netip.MustParseAddrPort("127.0.1.2:9000") }),
			fingerprint1, 0, NotGranter},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := NewLedger(granter, 42)
			c.before(l)
			is.Equal(l.Begin(start.Add(c.after), c.key, c.fingerprint).Verdict, c.want)
		})
	}
}

func TestLedgerIsBounded(t *testing.T) {
	is := is.New(t)
	l := NewLedger(granter, 42)
	l.table.quota.maxRecords, l.table.quota.maxBytes = 2, 3
	key := func(n uint64) Key { return Key{Granter: granter, Incarnation: 42, Counter: n, Issued: start} }

	is.Equal(l.Begin(start, key(1), fingerprint1).Verdict, Run)
	is.Equal(l.Begin(start, key(2), fingerprint1).Verdict, Run)
	is.Equal(l.Begin(start, key(3), fingerprint1).Verdict, Full)
	l.Finish(start, key(1), Outcome{Status: 200, Body: []byte("ab"), Whole: true})
	is.Equal(l.Begin(start.Add(minRetention-1), key(6), fingerprint1).Verdict, Full)
	l.Finish(start, key(2), Outcome{Status: 200, Body: []byte("ab"), Whole: true})
	is.Equal(l.Begin(start, key(1), fingerprint1).Outcome.Whole, true)
	is.Equal(l.Begin(start, key(2), fingerprint1).Outcome.Whole, false) // the quota has no room for its body
	is.True(!l.RefuseUnlessBegun(start, key(1)))

	later := start.Add(recordRetention + expireInterval)
	is.Equal(l.Begin(later, key(3), fingerprint1).Verdict, RefusedBefore) // key 3 was refused, so its request never runs
	is.Equal(l.Begin(later, key(4), fingerprint1).Verdict, Run)
	is.Equal(l.Begin(later, key(7), fingerprint1).Verdict, Run)
	is.Equal(l.Begin(later, key(8), fingerprint1).Verdict, Full) // requests 4 and 7 are still running
	l.Finish(later, key(7), Outcome{Status: 200})
	later = later.Add(minRetention)
	is.Equal(l.Begin(later, key(9), fingerprint1).Verdict, Run) // evicts the record of request 7
	is.Equal(l.Begin(later, key(7), fingerprint1).Verdict, OutcomeUnknown)
	is.Equal(l.Begin(later, key(4), fingerprint1).Verdict, InProgress)
	is.Equal(l.Len(), 2)
	is.Equal(l.table.quota.bytes, 0)
	l.Begin(start.Add(3*KeyLifetime), key(5), fingerprint1)
	is.Equal(len(l.table.marks), 0)
}

func TestGrantLogAcceptsCurrentAndPreviousGeneration(t *testing.T) {
	is := is.New(t)
	l := NewGrantLog(42)
	grant := Grant{Granter: granter, Incarnation: 3, Number: 5}
	is.Equal(l.Begin(start, grant, fingerprint1).Verdict, EpochMissing)
	grant.Executor = l.Epoch()
	is.Equal(l.Begin(start, grant, fingerprint1).Verdict, Run)
	is.Equal(l.Begin(start, grant, fingerprint1).Verdict, InProgress)
	l.Refuse(start, grant)
	is.Equal(l.Begin(start, grant, fingerprint1).Verdict, RefusedBefore)
	is.Equal(l.Begin(start.Add(generationPeriod), grant, fingerprint1).Verdict, RefusedBefore)    // the grant's generation is the previous one
	is.Equal(l.Begin(start.Add(2*generationPeriod), grant, fingerprint1).Verdict, OutcomeUnknown) // the grant's generation was dropped
	is.Equal(l.quota.records, 0)

	restarted := NewGrantLog(43)
	is.Equal(restarted.Begin(start, grant, fingerprint1).Verdict, OutcomeUnknown)
	is.Equal(restarted.Begin(start, Grant{Granter: granter}, fingerprint1).Verdict, EpochMissing)
}
