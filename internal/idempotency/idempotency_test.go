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
	start   = time.Unix(1_000_000, 0)
	granter = netip.MustParseAddrPort("127.0.1.1:9000")
	print1  = Fingerprint{1}
	print2  = Fingerprint{2}
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

func TestKeyOpensUnchangedOnly(t *testing.T) {
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
		is.True(errors.Is(err, ErrForged) || errors.Is(err, ErrUnknownVersion)) // any changed bit
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
			t.Fatalf("%q: %v does not survive its text form", text, grant)
		}
	})
}

func TestLedgerVerdicts(t *testing.T) {
	key := Key{Granter: granter, Incarnation: 42, Service: 7, Counter: 9, Issued: start}
	changed := func(change func(*Key)) Key { k := key; change(&k); return k }
	whole := Outcome{Status: 201, Body: []byte("ok"), Whole: true}
	cases := []struct {
		name   string
		before func(*Ledger)
		key    Key
		print  Fingerprint
		after  time.Duration
		want   Verdict
	}{
		{"first use", func(*Ledger) {}, key, print1, 0, Run},
		{"in progress", func(l *Ledger) { l.Begin(start, key, print1) }, key, print1, time.Second, InProgress},
		{"in progress for days", func(l *Ledger) { l.Begin(start, key, print1) }, key, print1, KeyLifetime - 1, InProgress},
		{"finished", func(l *Ledger) { l.Begin(start, key, print1); l.Finish(start, key, whole) }, key, print1, 0, Replay},
		{"finished and lost", func(l *Ledger) { l.Begin(start, key, print1); l.Finish(start, key, whole); l.MarkUnknown(start, key) },
			key, print1, 0, Replay},
		{"lost", func(l *Ledger) { l.Begin(start, key, print1); l.MarkUnknown(start, key) }, key, print1, 0, OutcomeUnknown},
		{"lost, then refused", func(l *Ledger) { l.Begin(start, key, print1); l.MarkUnknown(start, key); l.Refuse(start, key) },
			key, print1, 0, OutcomeUnknown},
		{"refused", func(l *Ledger) { l.Begin(start, key, print1); l.Refuse(start, key) }, key, print1, 0, RefusedBefore},
		{"spent", func(l *Ledger) { l.RefuseUnlessBegun(start, key) }, key, print1, 0, RefusedBefore},
		{"other body", func(l *Ledger) { l.Begin(start, key, print1) }, key, print2, 0, KeyReused},
		{"record forgotten", func(l *Ledger) { l.Begin(start, key, print1); l.Finish(start, key, whole) },
			key, print1, recordRetention + expireInterval, OutcomeUnknown},
		{"expired key", func(*Ledger) {}, key, print1, KeyLifetime, OutcomeUnknown},
		{"clock set back", func(l *Ledger) { l.Begin(start.Add(KeyLifetime), changed(func(k *Key) { k.Counter = 1 }), print1) },
			key, print1, 0, OutcomeUnknown},
		{"earlier incarnation", func(*Ledger) {}, changed(func(k *Key) { k.Incarnation = 41 }), print1, 0, OutcomeUnknown},
		{"later incarnation", func(*Ledger) {}, changed(func(k *Key) { k.Incarnation = 43 }), print1, 0, OutcomeUnknown},
		{"other granter", func(*Ledger) {}, changed(func(k *Key) { k.Granter = netip.MustParseAddrPort("127.0.1.2:9000") }),
			print1, 0, NotGranter},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := NewLedger(granter, 42)
			c.before(l)
			is.Equal(l.Begin(start.Add(c.after), c.key, c.print).Verdict, c.want)
		})
	}
}

func TestLedgerStaysWithinItsBounds(t *testing.T) {
	is := is.New(t)
	l := NewLedger(granter, 42)
	l.table.room.maxRecords, l.table.room.maxBytes = 2, 3
	key := func(n uint64) Key { return Key{Granter: granter, Incarnation: 42, Counter: n, Issued: start} }

	is.Equal(l.Begin(start, key(1), print1).Verdict, Run)
	is.Equal(l.Begin(start, key(2), print1).Verdict, Run)
	is.Equal(l.Begin(start, key(3), print1).Verdict, Full)
	l.Finish(start, key(1), Outcome{Status: 200, Body: []byte("ab"), Whole: true})
	is.Equal(l.Begin(start.Add(leastRetention-1), key(6), print1).Verdict, Full)
	l.Finish(start, key(2), Outcome{Status: 200, Body: []byte("ab"), Whole: true})
	is.Equal(l.Begin(start, key(1), print1).Outcome.Whole, true)
	is.Equal(l.Begin(start, key(2), print1).Outcome.Whole, false) // no room for its body
	is.True(!l.RefuseUnlessBegun(start, key(1)))

	later := start.Add(recordRetention + expireInterval)
	is.Equal(l.Begin(later, key(3), print1).Verdict, RefusedBefore) // told not run, never runs
	is.Equal(l.Begin(later, key(4), print1).Verdict, Run)
	is.Equal(l.Begin(later, key(7), print1).Verdict, Run)
	is.Equal(l.Begin(later, key(8), print1).Verdict, Full) // both are under way
	l.Finish(later, key(7), Outcome{Status: 200})
	later = later.Add(leastRetention)
	is.Equal(l.Begin(later, key(9), print1).Verdict, Run) // in the place of 7
	is.Equal(l.Begin(later, key(7), print1).Verdict, OutcomeUnknown)
	is.Equal(l.Begin(later, key(4), print1).Verdict, InProgress)
	is.Equal(l.Len(), 2)
	is.Equal(l.table.room.bytes, 0)
	l.Begin(start.Add(3*KeyLifetime), key(5), print1)
	is.Equal(len(l.table.marks), 0)
}

func TestGrantLogKnowsItsLives(t *testing.T) {
	is := is.New(t)
	l := NewGrantLog(42)
	grant := Grant{Granter: granter, Incarnation: 3, Number: 5}
	is.Equal(l.Begin(start, grant, print1).Verdict, EpochMissing)
	grant.Executor = l.Epoch()
	is.Equal(l.Begin(start, grant, print1).Verdict, Run)
	is.Equal(l.Begin(start, grant, print1).Verdict, InProgress)
	l.Refuse(start, grant)
	is.Equal(l.Begin(start, grant, print1).Verdict, RefusedBefore)
	is.Equal(l.Begin(start.Add(generationPeriod), grant, print1).Verdict, RefusedBefore)    // the generation before
	is.Equal(l.Begin(start.Add(2*generationPeriod), grant, print1).Verdict, OutcomeUnknown) // forgotten
	is.Equal(l.room.records, 0)

	restarted := NewGrantLog(43)
	is.Equal(restarted.Begin(start, grant, print1).Verdict, OutcomeUnknown)
	is.Equal(restarted.Begin(start, Grant{Granter: granter}, print1).Verdict, EpochMissing)
}
