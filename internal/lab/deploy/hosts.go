package deploy

import (
	"errors"
	"fmt"
	"net/netip"
	"path/filepath"
	"strconv"
)

// Host is one backend server and its agent.
type Host struct {
	// Agent and Backend are the processes of the host.
	Agent, Backend *Process
	// Service is the name of the service that the host serves.
	Service string
	// AgentAddr is the peer address of the agent, which identifies it.
	AgentAddr netip.AddrPort

	control string
	admin   netip.AddrPort
	ledger  string
}

func (d *Deployment) startHosts() error {
	number := 0
	for _, s := range d.cfg.Place.Services {
		for i := range s.Hosts {
			number++
			h, err := d.newHost(s, number, d.cfg.Place.dataCentre(i))
			if err != nil {
				return err
			}
			d.Hosts = append(d.Hosts, h)
			if err := errors.Join(h.Backend.start(), h.Agent.start()); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *Deployment) newHost(s ServicePlan, number int, dataCentre string) (*Host, error) {
	p := d.cfg.Place
	agentName, backendName := fmt.Sprintf("agent-%d", number), fmt.Sprintf("backend-%d", number)
	addr, announce := p.addr(agentNetwork, number, memberPort), p.addr(agentNetwork, number, announcePort)
	admin := p.addr(agentNetwork, number, adminPort)
	config, err := d.fleet.Agent(dataCentre, addr, announce, admin)
	if err != nil {
		return nil, err
	}
	config.Capacity = s.Slots
	file, err := d.writeSettings(agentName, config)
	if err != nil {
		return nil, err
	}
	control := p.loopbackAddr(backendControlPort, number).String()
	ledger := filepath.Join(d.cfg.Dir, backendName+".ledger")
	h := &Host{
		Agent: d.newProcess(agentName, Agent, d.cfg.Binary, "agent", file),
		Backend: d.newProcess(backendName, Backend, d.cfg.Lab, "standin", "backend",
			"--listen", p.loopbackAddr(backendPort, number).String(), "--control", control,
			"--service", s.Name, "--name", backendName, "--capacity", strconv.Itoa(s.Slots),
			"--agent", "http://"+announce.String(), "--ledger", ledger),
		Service:   s.Name,
		AgentAddr: addr,
		control:   "http://" + control,
		admin:     admin,
		ledger:    ledger,
	}
	for _, process := range []*Process{h.Agent, h.Backend} {
		process.DataCentre = dataCentre
		process.Service = s.Name
	}
	return h, nil
}
