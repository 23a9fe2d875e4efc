package flowproc_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// scrape reads the metrics of the process at addr.
func (d *deployment) scrape(addr netip.Addr) string {
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return d.net.Host(callersAddr().Addr()).DialTCP(ctx, address)
		},
	}}
	response, err := client.Get("http://" + netip.AddrPortFrom(addr, metricsPort).String() + "/metrics")
	if err != nil {
		d.t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		d.t.Fatal(err)
	}
	return string(text)
}

// value returns the value of a series, or "" if it does not exist.
func value(metrics, series string) string {
	for line := range strings.Lines(metrics) {
		if after, ok := strings.CutPrefix(line, series+" "); ok {
			return strings.TrimSpace(after)
		}
	}
	return ""
}

func TestMetricsCountCallsBytesAndTables(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 2, 3)
		for port := uint16(1000); port < 1010; port++ {
			d.call(0, port)
		}
		d.store.setDown(true)
		time.Sleep(5 * time.Second)
		balancer := d.scrape(balancerAddr(0))
		is.Equal(value(balancer, `almondledge_table_entries{table="owners"}`), "10")
		is.Equal(value(balancer, `almondledge_table_limit{table="owners"}`), "16384")
		is.True(value(balancer, `almondledge_store_calls_total{op="read_state",outcome="ok"}`) != "")
		is.True(value(balancer, `almondledge_store_calls_total{op="read_change",outcome="ok"}`) != "")
		is.True(value(balancer, `almondledge_store_calls_total{op="read_change",outcome="unavailable"}`) != "")
		is.True(value(balancer, `almondledge_store_call_seconds_count{op="read_change"}`) != "")
		is.True(value(balancer, `almondledge_peer_sent_bytes_total{type="packet"}`) != "0")
		is.True(value(balancer, `almondledge_peer_sent_bytes_total{type="membership"}`) != "0")
		is.Equal(value(balancer, `almondledge_peer_sent_bytes_total{type="claim"}`), "0") // only agents send claims
		agentsWithFlows := 0
		for i := range d.agents {
			agent := d.scrape(agentAddr(i))
			if value(agent, `almondledge_table_entries{table="flows"}`) != "0" {
				agentsWithFlows++
			}
			is.Equal(value(agent, `almondledge_table_limit{table="claims"}`), "32768")
			is.True(value(agent, `almondledge_peer_sent_bytes_total{type="notice"}`) != "0")
		}
		is.Equal(agentsWithFlows, len(d.agents))
	})
}

// Guards against a number of series that grows with the traffic.
func TestSeriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 2, 3)
		names := func() int { return strings.Count(d.scrape(agentAddr(0)), "almondledge_") }
		before := names()
		for port := uint16(1000); port < 1100; port++ {
			d.request(1, d.call(0, port))
		}
		// Histograms export only the buckets that have been used, a few per histogram.
		const buckets = 30
		is.True(names() <= before+buckets)
	})
}
