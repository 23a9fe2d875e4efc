package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/almondledge/almondledge/internal/localfleet"
)

const secretFileMode = 0o600

// settingsCmd writes the settings of a small fleet on loopback.
type settingsCmd struct {
	Dir         string         `arg:"" help:"Existing folder for the files." type:"existingdir"`
	Balancers   int            `default:"3" help:"Number of balancers: 127.1.1.N, UDP and TCP port 7000, fabric port 7100, admin port 7080."`
	Agents      int            `default:"3" help:"Number of agents: 127.1.2.N, the same ports, announcements on 127.1.2.N:7090."`
	DataCentres []string       `default:"cesme,alacati" help:"Data centres, taken in turn."`
	Store       string         `default:"http://127.0.0.1:2379" help:"URL of the platform's store."`
	Fabric      netip.AddrPort `default:"127.0.0.1:7200" help:"UDP address of the fabric."`
}

// Run writes balancer-N.json, agent-N.json and ca.pem.
func (c settingsCmd) Run() error {
	var seeds []netip.AddrPort
	for i := range c.Balancers {
		seeds = append(seeds, addr(1, i, 7000))
	}
	fleet, err := localfleet.New(c.Store, c.Fabric, seeds)
	if err != nil {
		return err
	}
	for i := range c.Balancers {
		config, err := fleet.Balancer(c.DataCentres[i%len(c.DataCentres)], addr(1, i, 7000), addr(1, i, 7100), addr(1, i, 7080))
		if err != nil {
			return err
		}
		if err := c.write(fmt.Sprintf("balancer-%d.json", i+1), config); err != nil {
			return err
		}
	}
	for i := range c.Agents {
		config, err := fleet.Agent(c.DataCentres[i%len(c.DataCentres)], addr(2, i, 7000), addr(2, i, 7090), addr(2, i, 7080))
		if err != nil {
			return err
		}
		if err := c.write(fmt.Sprintf("agent-%d.json", i+1), config); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(c.Dir, "ca.pem"), []byte(fleet.CallerCA()), secretFileMode)
}

func (c settingsCmd) write(name string, config any) error {
	text, err := json.MarshalIndent(config, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.Dir, name), text, secretFileMode)
}

// addr returns 127.1.NETWORK.(i+1):port.
func addr(network byte, i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, network, byte(i + 1)}), port)
}
