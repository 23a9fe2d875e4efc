package load

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go/http3"

	"github.com/almondledge/almondledge/internal/pki"
	"github.com/almondledge/almondledge/internal/standin/backend"
)

const serverName = "rezervasyon.test"

// startServer starts an HTTP/3 server in front of a backend server stand-in and returns
// its address and the certificates that callers trust.
func startServer(t *testing.T, ledger string) (netip.AddrPort, *x509.CertPool) {
	t.Helper()
	b, err := backend.New(backend.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Name: "cesme-1", Ledger: ledger})
	if err != nil {
		t.Fatal(err)
	}
	authority, err := pki.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	pair, err := authority.IssueServiceCertificate([]string{serverName}, nil, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := tls.X509KeyPair([]byte(pair.Certificate), []byte(pair.Key))
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	server := &http3.Server{Handler: b.Handler(), TLSConfig: http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{cert}})}
	go func() { _ = server.Serve(conn) }()
	t.Cleanup(func() {
		_ = server.Close()
		_ = conn.Close()
		_ = b.Close()
	})
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM([]byte(authority.KeyPair().Certificate))
	return conn.LocalAddr().(*net.UDPAddr).AddrPort(), pool
}

func TestRunAgainstOneServer(t *testing.T) {
	is := is.New(t)
	ledger := filepath.Join(t.TempDir(), "ledger")
	addr, pool := startServer(t, ledger)
	report, err := Run(t.Context(), Config{
		TLS:            &tls.Config{RootCAs: pool},
		Duration:       500 * time.Millisecond,
		RequestTimeout: time.Minute,
		Seed:           1,
		Ledgers:        []string{ledger, filepath.Join(t.TempDir(), "none")},
		Targets: []Target{{
			Name:       "rezervasyon",
			Address:    addr,
			ServerName: serverName,
			Servers:    1,
			Mix: Mix{
				LongFlows: 4, PollInterval: 100 * time.Millisecond, Feeds: 1, FeedLines: 2, FeedInterval: 10 * time.Millisecond,
				SheetsPerSecond: 40, SheetBytes: 50_000, BookingsPerSecond: 40,
			},
		}},
	})
	is.NoErr(err)
	is.Equal(len(report.Violations), 0)
	target := report.Targets[0]
	is.Equal(target.LongFlows, 4)
	is.Equal(target.FlowsBroken, 0)
	is.Equal(target.RequestsCut, 0)
	is.Equal(len(target.Classes), len(Classes)) // every class of request was sent
	is.Equal(target.Imbalance.Flows, map[string]int{"cesme-1": 4})
	// Without a balancer and agent in front, the server runs bookings without a key.
	is.True(target.Bookings.Made > 0)
	is.Equal(target.Bookings.Outcomes[Confirmed], target.Bookings.Made)

	runs, err := backend.ReadLedger(ledger)
	is.NoErr(err)
	is.Equal(len(runs), target.Bookings.Made)
}
