package agent

import (
	"context"
	"net/netip"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/qlog"
	"github.com/quic-go/quic-go/qlogwriter"

	"github.com/almondledge/almondledge/internal/replypath"
)

// callerContextKey is the context key of a flow's caller address.
type callerContextKey struct{}

// ptoTrace watches the events of one flow for probe timeouts (RFC 9002, section 6.2).
// A probe timeout means that acknowledgements are missing, so the next packets should
// take another balancer.
type ptoTrace struct {
	caller  netip.AddrPort
	chooser *replypath.Chooser
}

// newPTOTrace returns the trace of a flow that admitFlow admitted, or nil if ctx has no
// caller address.
func newPTOTrace(ctx context.Context, chooser *replypath.Chooser) qlogwriter.Trace {
	caller, ok := ctx.Value(callerContextKey{}).(netip.AddrPort)
	if !ok {
		return nil
	}
	return ptoTrace{caller: caller, chooser: chooser}
}

// tracer returns the Tracer of a quic.Config.
func tracer(chooser *replypath.Chooser) func(context.Context, bool, quic.ConnectionID) qlogwriter.Trace {
	return func(ctx context.Context, _ bool, _ quic.ConnectionID) qlogwriter.Trace {
		return newPTOTrace(ctx, chooser)
	}
}

// AddProducer returns the trace itself, which is also the recorder of events.
func (t ptoTrace) AddProducer() qlogwriter.Recorder { return t }

// RecordEvent reports a stall to the chooser if the event is a probe timeout.
func (t ptoTrace) RecordEvent(event qlogwriter.Event) {
	if timeout, ok := event.(qlog.PTOCountUpdated); ok && timeout.PTOCount > 0 {
		t.chooser.RecordStall(t.caller)
	}
}

// Close does nothing.
func (t ptoTrace) Close() error { return nil }
