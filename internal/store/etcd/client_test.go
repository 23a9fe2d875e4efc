package etcd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/standin/platform"
	"github.com/almondledge/almondledge/internal/store"
	"github.com/almondledge/almondledge/internal/store/etcdapi"
)

// newTestClient returns a client that calls p without sockets.
func newTestClient(t *testing.T, p *platform.Platform, change func(*Config)) *Client {
	t.Helper()
	cfg := Config{Endpoints: []string{"http://platform"}, Transport: platform.Transport{Platform: p}}
	if change != nil {
		change(&cfg)
	}
	client, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// put writes a key unconditionally and returns the new revision.
func put(t *testing.T, c *Client, key, value string) int64 {
	t.Helper()
	result, err := c.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value)}}})
	if err != nil || !result.Succeeded {
		t.Fatal(err)
	}
	return result.Revision
}

// runOnFakeClock runs a test with a new platform on a fake clock.
func runOnFakeClock(t *testing.T, run func(t *testing.T, is *is.I, p *platform.Platform)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		run(t, is.New(t), platform.New(nil))
		time.Sleep(time.Minute) // synctest requires that late calls end before the test
	})
}

// TestWritesAreSentOnce checks for every fault that a write is sent only once and
// returns the right kind of error, and that a read succeeds despite the fault.
func TestWritesAreSentOnce(t *testing.T) {
	cases := []struct {
		name    string
		fault   platform.Fault
		kind    errkind.Kind
		applied bool
	}{
		{"none", platform.None, "", true},
		{"refuse", platform.Refuse, errkind.NotApplied, false},
		{"lose request", platform.LoseRequest, errkind.Unknown, false},
		{"lose answer", platform.LoseAnswer, errkind.Unknown, true},
		{"reject", platform.Reject, errkind.NotApplied, false},
		{"fail before", platform.FailBefore, errkind.Unknown, false},
		{"fail after", platform.FailAfter, errkind.Unknown, true},
		{"late", platform.Late, errkind.Unknown, true},
		{"stall", platform.Stall, errkind.Unknown, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runOnFakeClock(t, func(t *testing.T, is *is.I, p *platform.Platform) {
				client := newTestClient(t, p, nil)
				var calls, writes int
				p.SetFaults(platform.Faults{LateBy: 10 * time.Second, Script: func(path string) platform.Fault {
					calls++
					if path == etcdapi.PathTxn {
						writes++
					}
					if path == etcdapi.PathTxn || calls == 2 {
						return c.fault
					}
					return platform.None
				}})
				_, err := client.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: "a", Value: []byte("1")}}})
				is.Equal(errkind.Of(err), c.kind)
				time.Sleep(time.Minute)
				_, err = client.Get(t.Context(), "a")
				is.Equal(err == nil, c.applied)
				is.True(err == nil || errkind.Is(err, errkind.NotFound))
				is.Equal(writes, 1)
			})
		})
	}
}

func TestLeaseEnds(t *testing.T) {
	cases := []struct {
		name string
		end  func(t *testing.T, c *Client, p *platform.Platform, id store.LeaseID)
		kind errkind.Kind
	}{
		{"renewed", func(t *testing.T, c *Client, _ *platform.Platform, id store.LeaseID) {
			time.Sleep(9 * time.Second)
			is.New(t).NoErr(c.KeepAlive(t.Context(), id))
			time.Sleep(9 * time.Second)
		}, ""},
		{"holder paused", func(*testing.T, *Client, *platform.Platform, store.LeaseID) { time.Sleep(10 * time.Second) }, errkind.NotFound},
		{"expired early", func(_ *testing.T, _ *Client, p *platform.Platform, _ store.LeaseID) { p.ExpireLeases() }, errkind.NotFound},
		{"revoked", func(t *testing.T, c *Client, _ *platform.Platform, id store.LeaseID) {
			is.New(t).NoErr(c.Revoke(t.Context(), id))
			is.New(t).Equal(errkind.Of(c.Revoke(t.Context(), id)), errkind.NotFound)
		}, errkind.NotFound},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runOnFakeClock(t, func(t *testing.T, is *is.I, p *platform.Platform) {
				client := newTestClient(t, p, nil)
				id, err := client.Grant(t.Context(), 9500*time.Millisecond)
				is.NoErr(err)
				_, err = client.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: "a", Lease: id}}})
				is.NoErr(err)
				c.end(t, client, p, id)
				is.Equal(errkind.Of(client.KeepAlive(t.Context(), id)), c.kind)
				_, err = client.Get(t.Context(), "a")
				is.Equal(errkind.Of(err), c.kind)
			})
		})
	}
}

// TestRangeReadsOneRevision writes between two pages of a range, with and without
// compaction. All pages must come from one revision.
func TestRangeReadsOneRevision(t *testing.T) {
	for _, compact := range []bool{false, true} {
		t.Run(fmt.Sprint("compact ", compact), func(t *testing.T) {
			runOnFakeClock(t, func(t *testing.T, is *is.I, p *platform.Platform) {
				client := newTestClient(t, p, func(cfg *Config) { cfg.PageSize = 2; cfg.MaxResponseBytes = 1000 })
				writer := newTestClient(t, p, nil)
				for _, key := range []string{"p/a", "p/b", "p/c", "p/d", "p/e"} {
					put(t, writer, key, strings.Repeat("1", 400))
				}
				var once sync.Once
				calls := 0
				p.SetFaults(platform.Faults{Script: func(path string) platform.Fault {
					calls++
					if path == etcdapi.PathRange && calls > 3 {
						once.Do(func() {
							put(t, writer, "p/e", "2")
							if compact {
								p.Compact()
							}
						})
					}
					return platform.None
				}})
				snapshot, err := client.Range(t.Context(), "p/")
				is.NoErr(err)
				is.Equal(len(snapshot.Entries), 5)
				is.Equal(string(snapshot.Entries[4].Value) == "2", compact) // after compaction, Range starts from the first page
				is.Equal(snapshot.Revision == snapshot.Entries[4].ModRevision, true)
			})
		})
	}
}

// TestWatchEnds checks that an idle watch stays open, and that Watch returns an
// error when the watch stops delivering changes or the store fails.
func TestWatchEnds(t *testing.T) {
	cases := []struct {
		name string
		stop func(t *testing.T, c *Client, p *platform.Platform)
		kind errkind.Kind
		text string
	}{
		{"silent with changes", func(t *testing.T, c *Client, p *platform.Platform) {
			p.SetFaults(platform.Faults{SilentWatches: true})
			put(t, c, "p/b", "2")
		}, errkind.Unavailable, "is silent"},
		{"silent and store unreachable", func(_ *testing.T, _ *Client, p *platform.Platform) {
			p.SetFaults(platform.Faults{SilentWatches: true, Script: func(string) platform.Fault { return platform.LoseRequest }})
		}, errkind.Unavailable, "did not answer"},
		{"down", func(_ *testing.T, _ *Client, p *platform.Platform) { p.SetFaults(platform.Faults{Down: true}) }, errkind.Unavailable, "lost"},
		{"restored", func(_ *testing.T, _ *Client, p *platform.Platform) {
			p.SetFaults(platform.Faults{SilentWatches: true})
			p.Restore(1)
			p.SetFaults(platform.Faults{})
		}, errkind.Unavailable, "lost"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runOnFakeClock(t, func(t *testing.T, is *is.I, p *platform.Platform) {
				client := newTestClient(t, p, nil)
				from := put(t, client, "p/a", "1")
				var seen []store.Event
				ended := make(chan error, 1)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Hour)
				defer cancel()
				go func() {
					ended <- client.Watch(ctx, "p/", from, func(b store.WatchBatch) { seen = append(seen, b.Events...) })
				}()
				time.Sleep(time.Hour + time.Second) // an idle watch stays open
				synctest.Wait()
				is.Equal(len(ended), 0)
				is.Equal(len(seen), 1)
				put(t, client, "other", "1")
				c.stop(t, client, p)
				err := <-ended
				is.Equal(errkind.Of(err), c.kind)
				is.True(strings.Contains(err.Error(), c.text))
				is.NoErr(ctx.Err()) // the watch ended by itself
			})
		})
	}
}

// TestWatchFromUnavailableRevision starts watches at a compacted revision, and at
// a revision that a restored store has not reached.
func TestWatchFromUnavailableRevision(t *testing.T) {
	runOnFakeClock(t, func(t *testing.T, is *is.I, p *platform.Platform) {
		client := newTestClient(t, p, nil)
		first := put(t, client, "p/a", "1")
		last := put(t, client, "p/a", "2")
		p.Compact()
		ignore := func(store.WatchBatch) {}
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		is.Equal(errkind.Of(client.Watch(ctx, "p/", first, ignore)), errkind.Stale)
		is.NoErr(client.rollback.refusalError()) // the store is not refused after a compaction
		p.Restore(first)
		client.ObserveRevision(last + 5) // another process has seen a revision that the store has not reached
		start := time.Now()
		is.Equal(errkind.Of(client.Watch(ctx, "p/", last+6, ignore)), errkind.Stale)
		is.True(time.Since(start) < DefaultWatchIdle) // detected when the watch opens
		is.True(client.rollback.refusalError() != nil)
		client.AcceptCurrentState()
		_, err := client.Get(t.Context(), "p/a")
		is.NoErr(err)
	})
}

// TestOverlappingReadsAreNotStale checks that an answer that arrives after a newer
// answer to another call is not taken for an older state of the store.
func TestOverlappingReadsAreNotStale(t *testing.T) {
	is := is.New(t)
	var h rollbackDetector
	header := func(revision, cluster int64) etcdapi.Header {
		return etcdapi.Header{Revision: etcdapi.Int64(revision), ClusterID: etcdapi.Uint64(cluster)}
	}
	is.NoErr(h.check(header(7, 1), 5))
	is.NoErr(h.check(header(6, 1), 5))
	is.NoErr(h.check(header(8, 1), 7))
	is.Equal(errkind.Of(h.check(header(9, 2), 8)), errkind.Stale) // another cluster
	is.Equal(errkind.Of(h.check(header(99, 1), 8)), errkind.Stale)
}

// TestCallBudget checks that a client never exceeds its call budget, and that a
// call that gets no token in time is not sent.
func TestCallBudget(t *testing.T) {
	runOnFakeClock(t, func(t *testing.T, is *is.I, p *platform.Platform) {
		set := metrics.NewSet()
		client := newTestClient(t, p, func(cfg *Config) { cfg.CallsPerSecond = 1; cfg.Burst = 5; cfg.Metrics = set })
		start := time.Now()
		refused := 0
		for range 50 {
			_, err := client.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: "a"}}})
			if err != nil {
				is.Equal(errkind.Of(err), errkind.NotApplied)
				refused++
			}
		}
		allowed := int64(5 + time.Since(start)/time.Second)
		is.True(p.Counts().Writes <= allowed)
		is.Equal(p.Counts().Writes, p.Revision()-1)
		is.Equal(refused, 0) // calls within the deadline wait for the budget
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, err := client.Commit(ctx, store.Txn{Puts: []store.Put{{Key: "a"}}})
		is.Equal(errkind.Of(err), errkind.NotApplied)
		_, err = client.Get(ctx, "a")
		is.Equal(errkind.Of(err), errkind.Overloaded)
		is.Equal(set.GetOrCreateCounter(`almondledge_store_calls_total{op="txn",outcome="ok"}`).Get(), uint64(50))
		is.Equal(set.GetOrCreateCounter(`almondledge_store_calls_total{op="txn",outcome="budget"}`).Get(), uint64(1))
	})
}

// hostTransports maps hosts to transports. It refuses connections to other hosts.
type hostTransports map[string]http.RoundTripper

// RoundTrip implements http.RoundTripper.
func (e hostTransports) RoundTrip(r *http.Request) (*http.Response, error) {
	if next, ok := e[r.URL.Host]; ok {
		return next.RoundTrip(r)
	}
	return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
}

// unanswered accepts requests and never answers.
type unanswered struct{}

// RoundTrip implements http.RoundTripper.
func (unanswered) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

func TestFailover(t *testing.T) {
	runOnFakeClock(t, func(t *testing.T, is *is.I, p *platform.Platform) {
		hosts := hostTransports{"b": platform.Transport{Platform: p}}
		client := newTestClient(t, p, func(cfg *Config) {
			cfg.Endpoints = []string{"http://a", "http://b"}
			cfg.Transport = hosts
		})
		put(t, client, "a", "1") // a write is tried on the next endpoint after a refused connection
		client.preferred.Store(0)
		hosts["a"] = unanswered{}
		_, err := client.Get(t.Context(), "a") // a read is tried on the next endpoint after a missing answer
		is.NoErr(err)
		client.preferred.Store(0)
		_, err = client.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: "a"}}})
		is.Equal(errkind.Of(err), errkind.Unknown) // a write without an answer is not sent again
		is.Equal(p.Counts().Writes, int64(1))
	})
}
