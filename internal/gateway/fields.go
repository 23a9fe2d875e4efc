package gateway

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Header fields of requests and answers that callers and backend servers see.
const (
	// OutcomeField carries, in an answer, the outcome of the request: one of the Outcome values.
	OutcomeField = "Almondledge-Outcome"
	// DeadlineField carries, in a request, the remaining time until the answer must have started,
	// in milliseconds.
	DeadlineField = "Almondledge-Deadline-Ms"
	// KeyField carries, in a request, its idempotency key, and in an answer, a fresh key.
	KeyField = "Idempotency-Key"

	retryAfterField = "Retry-After"
	forwardedField  = "X-Forwarded-For"
)

// Header fields of relayed requests and their answers, between agents only.
const (
	relayServiceField = "Almondledge-Relay-Service"
	relayHopsField    = "Almondledge-Relay-Hops"
	relayCallerField  = "Almondledge-Relay-Caller"
	relayKeyField     = "Almondledge-Relay-Key"
	relayGrantField   = "Almondledge-Relay-Grant"
	// relayFreeSlotField marks a slot query: the peer runs the request at once or refuses it.
	relayFreeSlotField = "Almondledge-Relay-Free-Slot"
	// relayEpochField carries, in an answer, the epoch that grants for the answering agent must
	// name.
	relayEpochField = "Almondledge-Relay-Life"
	// relayLedgerField carries, in a refusal that follows from a closed ledger, the incarnation that
	// the ledger belongs to.
	relayLedgerField = "Almondledge-Relay-Ledger"
	// relayEpochMissingField is set in an answer if the grant named no epoch.
	relayEpochMissingField = "Almondledge-Relay-Life-Missing"
	relayRetryMsField      = "Almondledge-Relay-Retry-After-Ms"
	relayOverloadedField   = "Almondledge-Relay-Overloaded"

	// ownFieldPrefix is the prefix of the fields that only this system may set.
	ownFieldPrefix = "Almondledge-"
)

// Outcome is the outcome of a request that the answer reports.
type Outcome string

// Outcomes.
const (
	// OutcomeRun means that the backend server ran the request.
	OutcomeRun Outcome = "run"
	// OutcomeNotRun means that the request was not run and never will be.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeInProgress means that a request with the same key is still running.
	OutcomeInProgress Outcome = "in-progress"
)

// hopByHop lists the fields that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns a copy of h without the hop-by-hop fields and without the fields of this system,
// which neither callers nor backend servers may set.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, ownFieldPrefix) {
			delete(out, name)
		}
	}
	return out
}

// parseMillis parses a number of milliseconds, at most one day.
func parseMillis(text string) (time.Duration, bool) {
	const maxMillis = 24 * 60 * 60 * 1000
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis > maxMillis {
		return 0, false
	}
	return time.Duration(millis) * time.Millisecond, true
}

func formatMillis(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10)
}

// formatRetryAfter rounds up to whole seconds, as the Retry-After field requires.
func formatRetryAfter(d time.Duration) string {
	seconds := int64((d + time.Second - 1) / time.Second)
	return strconv.FormatInt(max(seconds, 1), 10)
}
