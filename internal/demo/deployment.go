package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/almondledge/almondledge/internal/adminapi"
	"github.com/almondledge/almondledge/internal/agent"
	"github.com/almondledge/almondledge/internal/balancer"
	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/localfleet"
	"github.com/almondledge/almondledge/internal/logging"
	"github.com/almondledge/almondledge/internal/network"
	"github.com/almondledge/almondledge/internal/settings"
	"github.com/almondledge/almondledge/internal/standin/backend"
	"github.com/almondledge/almondledge/internal/standin/fabric"
	"github.com/almondledge/almondledge/internal/standin/platform"
)

const (
	// callerDelayMillis is the one-way delay between callers and balancers, in milliseconds.
	callerDelayMillis = 3
	// startTimeout bounds the wait for each part of the start.
	startTimeout = 8 * time.Second
	startPoll    = 10 * time.Millisecond
	adminTimeout = 8 * time.Second
)

// balancerHost is a running balancer.
type balancerHost struct {
	*task
	balancer   *balancer.Balancer
	number     int
	dataCentre string
}

// host is a running backend server with its agent.
type host struct {
	*task
	// name is the name of the backend server.
	name       string
	agent      *agent.Agent
	addr       netip.AddrPort
	plan       servicePlan
	dataCentre string
	server     *backend.Server
	announcer  *task
}

// deployment is the running deployment: stand-ins, balancers, and hosts.
type deployment struct {
	ports     ports
	logs      io.Writer // nil discards
	keys      *localfleet.Fleet
	store     *platform.Server
	fabric    *fabric.Fabric
	balancers []*balancerHost
	hosts     []*host
	operator  *adminapi.Client
	standins  sync.WaitGroup
}

// startStandins starts the stand-ins of the platform and generates the keys.
func startStandins(port uint16, logs io.Writer) (*deployment, error) {
	p, store, err := choosePorts(port)
	if err != nil {
		return nil, err
	}
	d := &deployment{ports: p, store: store, logs: logs}
	d.standins.Go(func() { _ = store.Serve() })
	if d.fabric, err = fabric.New(p.fabric(), uint64(time.Now().UnixNano())); err != nil {
		d.stop()
		return nil, err
	}
	for _, s := range services {
		if _, err := d.fabric.AddService(p.service(s)); err != nil {
			d.stop()
			return nil, err
		}
	}
	if d.keys, err = localfleet.New(store.URL(), d.fabric.Addr(), p.seeds()); err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

func (d *deployment) logger(common settings.Common) (*log.Logger, error) {
	if d.logs == nil {
		return &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}, nil
	}
	source := logging.Source{Role: string(common.Role), Instance: common.Address.String(), DataCentre: common.DataCentre}
	return logging.New(d.logs, common.LogLevel, source)
}

// startBalancers starts the balancers and waits until each has loaded the store's
// configuration, which is still empty.
func (d *deployment) startBalancers(ctx context.Context) error {
	var endpoints []string
	for number := 1; number <= balancers; number++ {
		b, err := d.newBalancer(number)
		if err != nil {
			return err
		}
		d.balancers = append(d.balancers, b)
		endpoints = append(endpoints, "http://"+d.ports.admin(balancerNetwork, number).String())
	}
	d.operator = adminapi.NewClient(adminapi.ClientOptions{Endpoints: endpoints, Token: d.keys.AdminToken, Timeout: adminTimeout})
	if err := d.sprayTo(d.balancers); err != nil {
		return err
	}
	return d.await(ctx, "balancers", func() bool {
		for _, b := range d.balancers {
			if b.balancer.Ready() != nil {
				return false
			}
		}
		return true
	})
}

func (d *deployment) newBalancer(number int) (*balancerHost, error) {
	p := d.ports
	centre := dataCentre(number - 1)
	config, err := d.keys.Balancer(centre, p.member(balancerNetwork, number), p.fabricListen(number), p.admin(balancerNetwork, number))
	if err != nil {
		return nil, err
	}
	logger, err := d.logger(config.Common)
	if err != nil {
		return nil, err
	}
	b, err := balancer.New(config, balancer.Options{Log: logger, Network: network.System{}})
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("balancer-%d", number)
	return &balancerHost{task: startTask(name, b.Run), balancer: b, number: number, dataCentre: centre}, nil
}

// sprayTo makes the fabric spread callers' datagrams over targets.
func (d *deployment) sprayTo(targets []*balancerHost) error {
	knobs := fabric.Knobs{DelayMillis: make(map[string]float64)}
	for _, b := range targets {
		knobs.Balancers = append(knobs.Balancers, fabric.Balancer{Addr: d.ports.fabricListen(b.number), DataCentre: b.dataCentre})
		knobs.DelayMillis[b.dataCentre] = callerDelayMillis
	}
	return d.fabric.SetKnobs(knobs)
}

// startHosts starts the backend servers with their agents and waits until every
// balancer offers new flows to every agent.
func (d *deployment) startHosts(ctx context.Context) error {
	for _, s := range services {
		for number := 1; number <= s.hosts; number++ {
			h, err := d.newHost(s, number)
			if err != nil {
				return err
			}
			d.hosts = append(d.hosts, h)
		}
	}
	return d.await(ctx, "agents", func() bool {
		for _, h := range d.hosts {
			if h.agent.Ready() != nil {
				return false
			}
		}
		for _, b := range d.balancers {
			for _, s := range services {
				if len(b.balancer.Driver().Candidates(s.id)) < s.hosts {
					return false
				}
			}
		}
		return true
	})
}

func (d *deployment) newHost(s servicePlan, number int) (*host, error) {
	p := d.ports
	centre, name, octet := dataCentre(number-1), s.serverName(number), s.agentNetwork()
	config, err := d.keys.Agent(centre, p.member(octet, number), p.announce(octet, number), p.admin(octet, number))
	if err != nil {
		return nil, err
	}
	logger, err := d.logger(config.Common)
	if err != nil {
		return nil, err
	}
	a, err := agent.New(config, agent.Options{Log: logger, Network: network.System{}})
	if err != nil {
		return nil, err
	}
	server, err := backend.New(backend.Config{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Service: s.name, Name: name, Capacity: slots,
		Agent: "http://" + p.announce(octet, number).String(), Seed: uint64(number),
	})
	if err != nil {
		return nil, err
	}
	return &host{
		task: startTask("agent of "+name, a.Run), name: name, agent: a, addr: config.Address, plan: s, dataCentre: centre, server: server,
		announcer: startTask(name, func(ctx, _ context.Context) error { return server.Run(ctx) }),
	}, nil
}

// await polls until check returns true. It fails if a task ends by itself or
// startTimeout expires.
func (d *deployment) await(ctx context.Context, what string, check func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	ticker := time.NewTicker(startPoll)
	defer ticker.Stop()
	for !check() {
		if err := d.failure(); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.Unavailable, "the "+what+" did not become ready", "see their logs with --verbose")
		}
	}
	return nil
}

// tasks returns the tasks of balancers and agents.
func (d *deployment) tasks() []*task {
	var all []*task
	for _, b := range d.balancers {
		all = append(all, b.task)
	}
	for _, h := range d.hosts {
		all = append(all, h.task)
	}
	return all
}

// failure returns the error of a task that ended by itself, or nil.
func (d *deployment) failure() error {
	for _, t := range d.tasks() {
		if t.failed() {
			cause := t.err
			if cause == nil {
				cause = errors.New("it ended without an error")
			}
			return errkind.Wrap(cause, errkind.Unavailable, t.name+" ended by itself", "see its log with --verbose")
		}
	}
	return nil
}

// stop ends all parts of the deployment at once.
func (d *deployment) stop() {
	if d.operator != nil {
		d.operator.Close()
	}
	var ending sync.WaitGroup
	for _, t := range d.tasks() {
		ending.Go(t.kill)
	}
	for _, h := range d.hosts {
		ending.Go(h.announcer.kill)
	}
	ending.Wait()
	if d.fabric != nil {
		_ = d.fabric.Close()
	}
	_ = d.store.Close()
	d.standins.Wait()
}
