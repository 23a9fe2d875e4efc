package agent

import (
	"context"
	"net/netip"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/qlog"
	"github.com/quic-go/quic-go/qlogwriter"

	"github.com/almondledge/almondledge/internal/replypath"
)

// callerKey is the context key of a flow's caller address.
type callerKey struct{}

// ptoTrace watches the events of one flow for probe timeouts (RFC 9002, section
// 6.2): acknowledgements are missing, so the next packets had better take
// another balancer.
type ptoTrace struct {
	caller  netip.AddrPort
	replies *replypath.Chooser
}

// newPTOTrace returns the trace of a flow that admitFlow let in.
func newPTOTrace(ctx context.Context, replies *replypath.Chooser) qlogwriter.Trace {
	caller, ok := ctx.Value(callerKey{}).(netip.AddrPort)
	if !ok {
		return nil
	}
	return ptoTrace{caller: caller, replies: replies}
}

// tracer is the Tracer of a quic.Config.
func tracer(replies *replypath.Chooser) func(context.Context, bool, quic.ConnectionID) qlogwriter.Trace {
	return func(ctx context.Context, _ bool, _ quic.ConnectionID) qlogwriter.Trace {
		return newPTOTrace(ctx, replies)
	}
}

// AddProducer returns the trace itself: it keeps nothing.
func (t ptoTrace) AddProducer() qlogwriter.Recorder { return t }

// RecordEvent looks for a probe timeout.
func (t ptoTrace) RecordEvent(event qlogwriter.Event) {
	if timeout, ok := event.(qlog.PTOCountUpdated); ok && timeout.PTOCount > 0 {
		t.replies.RecordStall(t.caller)
	}
}

// Close does nothing.
func (t ptoTrace) Close() error { return nil }
