package deploy

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/localfleet"
	"github.com/almondledge/almondledge/internal/settings"
)

// firstEphemeralPort is the start of Linux's default range of ephemeral ports.
const firstEphemeralPort = 32_768

func TestPlaceSizes(t *testing.T) {
	cases := map[string]struct {
		dataCentres int
		hosts       []int
	}{
		"birlik": {4, []int{7, 4}},
		"majlis": {3, []int{7, 3}},
	}
	places, err := Places("both")
	is.New(t).NoErr(err)
	for _, p := range places {
		t.Run(p.Name, func(t *testing.T) {
			is := is.New(t)
			want := cases[p.Name]
			is.Equal(len(p.DataCentres), want.dataCentres)
			is.True(p.Balancers >= len(p.DataCentres))
			for i, s := range p.Services {
				is.Equal(s.Hosts, want.hosts[i])
				is.NoErr(p.Spec(s).Validate())
				is.Equal(p.Spec(s).Limits.Slots, 5)
				is.Equal(p.Spec(s).Limits.Connections, 2000)
			}
		})
	}
	_, err = Places("other")
	is.New(t).True(err != nil)
}

func TestHostAddressesAreUnique(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	places, err := Places("both")
	is.NoErr(err)
	for _, p := range places {
		fleet, err := localfleet.New("http://127.0.0.1:1", netip.MustParseAddrPort("127.0.0.1:2"), []netip.AddrPort{p.addr(balancerNetwork, 1, memberPort)})
		is.NoErr(err)
		d := &Deployment{cfg: Config{Place: p, Dir: t.TempDir()}, fleet: fleet}
		for number := 1; number <= 11; number++ {
			h, err := d.newHost(p.Services[0], number, p.dataCentre(number))
			is.NoErr(err) // the settings are valid
			backend := p.loopbackAddr(backendPort, number)
			is.True(backend.Port() < firstEphemeralPort)
			is.True(p.loopbackAddr(backendControlPort, number).Port() < firstEphemeralPort)
			for _, address := range []string{h.AgentAddr.String(), h.control, "http://" + backend.String(), h.ledger} {
				is.True(!seen[address])
				seen[address] = true
			}
			is.True(p.Spec(p.Services[0]).BackendServers[0].Contains(h.AgentAddr.Addr()))
		}
	}
}

func TestProcessLifeCycle(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	p := &Process{Name: "sleeper", path: "/bin/sh", args: []string{"-c", "echo started; exec sleep 600"}, log: filepath.Join(dir, "log")}
	is.NoErr(p.Kill()) // no effect before the first start
	is.Equal(errkind.Of(p.Signal(syscall.SIGTERM)), errkind.NotFound)
	for range 2 { // a process can be restarted
		is.NoErr(p.start())
		is.True(p.Running())
		is.NoErr(Freeze(p))
		is.NoErr(Resume(p))
		is.NoErr(p.Kill())
		is.True(!p.Running())
		code, err := p.Wait(t.Context())
		is.NoErr(err)
		is.Equal(code, -1)
	}
	_, err := os.Stat(p.log)
	is.NoErr(err)
}

func TestWaitReadyNamesTheEndedProcess(t *testing.T) {
	is := is.New(t)
	p := &Process{Name: "failing", path: "/bin/false", log: filepath.Join(t.TempDir(), "failing.log")}
	is.NoErr(p.start())
	_, err := p.Wait(t.Context())
	is.NoErr(err)
	d := &Deployment{}
	err = d.waitReady(t.Context(), p, func() error { return context.DeadlineExceeded })
	is.Equal(errkind.Of(err), errkind.Unavailable)
	is.Equal(err.Error(), "failing ended: context deadline exceeded (remedy: read failing.log in the folder of the run)")
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	is.NoErr(d.waitReady(ctx, p, func() error { return nil }))
}

func TestPacketKeyRotation(t *testing.T) {
	is := is.New(t)
	d := &Deployment{cfg: Config{Dir: t.TempDir()}}
	h := &Host{Agent: &Process{Name: "agent-1"}}
	d.Hosts = []*Host{h}
	first := settings.PacketKey{Version: 0, Secret: []byte("first")}
	_, err := d.writeSettings("agent-1", settings.Agent{Common: settings.Common{DataCentre: "cesme", PacketKeys: []settings.PacketKey{first}}})
	is.NoErr(err)
	versions := func() (out []int) {
		text, err := os.ReadFile(filepath.Join(d.cfg.Dir, "agent-1.json"))
		is.NoErr(err)
		var got settings.Agent
		is.NoErr(json.Unmarshal(text, &got))
		is.Equal(got.DataCentre, "cesme") // other fields are unchanged
		for _, k := range got.PacketKeys {
			out = append(out, k.Version)
		}
		return out
	}
	is.NoErr(d.AddPacketKey())
	is.Equal(versions(), []int{0, 1}) // accepted, not yet used
	is.NoErr(d.UsePacketKey())
	is.Equal(versions(), []int{1, 0})
	is.NoErr(d.AddPacketKey())
	is.Equal(versions(), []int{1, 0, 2})
	d.keyVersion = settings.MaxKeyVersion
	is.Equal(errkind.Of(d.AddPacketKey()), errkind.Overloaded)
}
