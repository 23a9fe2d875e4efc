package service

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
)

func validSpec() Spec {
	return Spec{
		Name:           "rezervasyon",
		ID:             1,
		Address:        netip.MustParseAddrPort("127.0.10.1:443"),
		BackendServers: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
		Limits:         Limits{Connections: 2000, Slots: 5, QueueLength: 10, DeadlineMillis: 5000},
	}
}

func TestValidateAcceptsValidSpec(t *testing.T) {
	is := is.New(t)
	is.NoErr(validSpec().Validate())
}

func TestValidateNamesTheInvalidField(t *testing.T) {
	cases := []struct {
		field      string
		invalidate func(*Spec)
	}{
		{"name", func(s *Spec) { s.Name = "Not Valid" }},
		{"id", func(s *Spec) { s.ID = 0 }},
		{"address", func(s *Spec) { s.Address = netip.AddrPort{} }},
		{"backendServers", func(s *Spec) { s.BackendServers = nil }},
		{"draining[0]", func(s *Spec) { s.Draining = []netip.AddrPort{{}} }},
		{"limits.connections", func(s *Spec) { s.Limits.Connections = 0 }},
		{"limits.slots", func(s *Spec) { s.Limits.Slots = -1 }},
		{"limits.queueLength", func(s *Spec) { s.Limits.QueueLength = -1 }},
		{"limits.requestsPerSecond", func(s *Spec) { s.Limits.RequestsPerSecond = -1 }},
		{"limits.flowsPerSecond", func(s *Spec) { s.Limits.FlowsPerSecond = -1 }},
		{"limits.deadlineMillis", func(s *Spec) { s.Limits.DeadlineMillis = 0 }},
	}
	for _, c := range cases {
		t.Run(c.field, func(t *testing.T) {
			is := is.New(t)
			spec := validSpec()
			c.invalidate(&spec)
			err := spec.Validate()
			is.Equal(errkind.Of(err), errkind.Invalid)
			is.True(strings.Contains(err.Error(), "field "+c.field+" "))
		})
	}
}
