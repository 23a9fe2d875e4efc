package etcd

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/store"
)

// fixedAnswer answers every request with the same body.
type fixedAnswer []byte

// RoundTrip implements http.RoundTripper.
func (c fixedAnswer) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(c)), Request: r}, nil
}

// FuzzAnswers gives arbitrary answers to every call. No call may panic, and a
// write with an invalid answer must not be reported as not applied.
func FuzzAnswers(f *testing.F) {
	f.Add([]byte(`{"header":{"revision":"7"},"kvs":[{"key":"YQ==","value":"MQ==","mod_revision":"7"}],"count":"1"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		client, err := New(Config{
			Endpoints: []string{"http://store"}, Transport: fixedAnswer(body), MaxResponseBytes: 1 << 16,
			NewBackOff: func() backoff.BackOff { return &backoff.StopBackOff{} },
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx := t.Context()
		_, writeErr := client.Commit(ctx, store.Txn{Puts: []store.Put{{Key: "a"}}})
		_, grantErr := client.Grant(ctx, time.Second)
		for _, err := range []error{writeErr, grantErr} {
			if errkind.Is(err, errkind.NotApplied) {
				t.Fatalf("an answered write was reported as not applied: %v", err)
			}
		}
		_, _ = client.Get(ctx, "a")
		_, _ = client.Range(ctx, "a")
		_, _ = client.GetAll(ctx, []string{"a", "b"})
		_ = client.KeepAlive(ctx, 1)
		if client.Watch(ctx, "a", 1, func(store.WatchBatch) {}) == nil {
			t.Fatal("a watch whose stream ended returned no error")
		}
	})
}
