package idempotency

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
)

var (
	closedStart   = time.Unix(1_800_000_000, 0)
	closedGranter = netip.MustParseAddrPort("127.1.0.1:7000")
)

// TestClosedLedgerAnswersForItsKeys checks that the archived copy of a closed ledger gives the
// outcomes that the ledger recorded, and that neither the ledger nor the copy lets a request run.
func TestClosedLedgerAnswersForItsKeys(t *testing.T) {
	key := func(counter uint64) Key {
		return Key{Granter: closedGranter, Incarnation: 7, Counter: counter, Issued: closedStart}
	}
	content, other := Fingerprint{1}, Fingerprint{2}
	ledger := NewLedger(closedGranter, 7)
	for counter := range uint64(5) {
		if ledger.Begin(closedStart, key(counter), content).Verdict != Run {
			t.Fatal("a fresh key must run")
		}
	}
	ledger.Finish(closedStart, key(0), Outcome{Status: 200, Body: []byte("booked"), Whole: true})
	ledger.Refuse(closedStart, key(1))
	ledger.MarkUnknown(closedStart, key(2))
	encoded, err := msgpack.Marshal(ledger.Close(closedStart))
	if err != nil {
		t.Fatal(err)
	}
	var closed ClosedLedger
	if err := msgpack.Unmarshal(encoded, &closed); err != nil {
		t.Fatal(err)
	}
	archive := NewArchive()
	if err := archive.Add(closedStart, closed); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name    string
		counter uint64
		content Fingerprint
		want    Verdict
	}{
		{"finished", 0, content, Replay},
		{"finished, other content", 0, other, KeyReused},
		{"refused before dispatch", 1, content, RefusedBefore},
		{"unknown", 2, content, OutcomeUnknown},
		{"running when the ledger closed", 3, content, OutcomeUnknown},
		{"never used", 99, content, RefusedBefore},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			decision, ok := archive.Decide(closedStart, key(c.counter), c.content)
			is.True(ok)
			is.Equal(decision.Verdict, c.want)
			is.True(ledger.Begin(closedStart, key(c.counter), c.content).Verdict != Run)
		})
	}
	is := is.New(t)
	_, ok := archive.Decide(closedStart, Key{Granter: closedGranter, Incarnation: 8}, content)
	is.True(!ok) // another incarnation
	_, ok = archive.Decide(closedStart.Add(KeyLifetime), key(0), content)
	is.True(!ok) // the keys have expired
}

func TestArchiveIsBounded(t *testing.T) {
	is := is.New(t)
	archive := NewArchive()
	for incarnation := range uint64(MaxArchived + 10) {
		is.NoErr(archive.Add(closedStart, ClosedLedger{Granter: closedGranter, Incarnation: incarnation + 1}))
	}
	is.Equal(archive.Len(), MaxArchived)
	is.True(archive.Add(closedStart, ClosedLedger{}) != nil)
	is.True(archive.Add(closedStart, ClosedLedger{Granter: closedGranter, Incarnation: 1, Blocks: make([]ClosedBlock, maxClosedBlocks+1)}) != nil)
}
