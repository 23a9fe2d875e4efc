package deploy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/localfleet"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/standin/platform"
	"github.com/almondledge/almondledge/internal/store/etcd"
)

const (
	secretFileMode    = 0o600
	readyPollInterval = 100 * time.Millisecond
	// readyTimeout bounds the wait until a started stand-in is ready.
	readyTimeout = 10 * time.Second
	// fabricJitterMillis is the maximum random addition to the fabric's delay, in milliseconds.
	fabricJitterMillis = 1
	// maxBalancers bounds the number of balancers, including those added later.
	maxBalancers = 32
)

// Config describes how to start a deployment.
type Config struct {
	// Place describes the deployment.
	Place Place
	// Binary is the path of the almondledge binary.
	Binary string
	// Lab is the path of the lab binary, which runs the stand-ins.
	Lab string
	// Dir is an empty folder for settings, ledgers and logs.
	Dir string
	// Seed determines the random choices of the stand-ins.
	Seed uint64
}

// BalancerHost is the process of one balancer and its addresses.
type BalancerHost struct {
	*Process
	// FabricListen is the address to which the fabric sends packets.
	FabricListen netip.AddrPort

	admin netip.AddrPort
}

// Deployment is a running deployment. Its methods are safe for concurrent use, but
// only one goroutine at a time may act on a given process.
type Deployment struct {
	// Hosts are the backend servers and their agents.
	Hosts []*Host

	cfg      Config
	fleet    *localfleet.Fleet
	platform *Process
	fabric   *Process
	store    *etcd.Client

	mu         sync.Mutex // guards the fields below
	balancers  []*BalancerHost
	specs      map[string]service.Spec
	tickets    int
	revision   int64
	keyVersion int
}

// Start starts all processes and waits until new flows reach every host. If it
// fails, it stops all processes that it started.
func Start(ctx context.Context, cfg Config) (*Deployment, error) {
	d := &Deployment{cfg: cfg, specs: make(map[string]service.Spec)}
	if err := d.start(ctx); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	p := d.cfg.Place
	if err := os.MkdirAll(d.cfg.Dir, 0o755); err != nil {
		return err
	}
	var seeds []netip.AddrPort
	for i := range p.Balancers {
		seeds = append(seeds, p.addr(balancerNetwork, i+1, memberPort))
	}
	var err error
	if d.fleet, err = localfleet.New(d.storeURL(), p.addr(platformNetwork, 2, fabricPort), seeds); err != nil {
		return err
	}
	if d.store, err = etcd.New(etcd.Config{Endpoints: []string{d.storeURL()}}); err != nil {
		return err
	}
	if err := d.startStandins(ctx); err != nil {
		return err
	}
	for range p.Balancers {
		if _, err := d.AddBalancer(ctx); err != nil {
			return err
		}
	}
	for _, s := range p.Services {
		d.specs[s.Name] = p.Spec(s)
	}
	if _, err := d.SubmitTicket(ctx, func([]*service.Spec) {}); err != nil {
		return err
	}
	if err := d.startHosts(); err != nil {
		return err
	}
	return d.WaitServing(ctx, d.Hosts)
}

func (d *Deployment) storeURL() string {
	return "http://" + d.cfg.Place.addr(platformNetwork, 1, storePort).String()
}

func (d *Deployment) fabricURL() string {
	return "http://" + d.cfg.Place.addr(platformNetwork, 2, fabricControlPort).String()
}

func (d *Deployment) newProcess(name string, role Role, path string, args ...string) *Process {
	return &Process{Name: name, Role: role, path: path, args: args, log: filepath.Join(d.cfg.Dir, name+".log")}
}

func (d *Deployment) startStandins(ctx context.Context) error {
	p := d.cfg.Place
	d.platform = d.newProcess("platform", Platform, d.cfg.Lab,
		"standin", "platform", "--listen", p.addr(platformNetwork, 1, storePort).String())
	d.fabric = d.newProcess("fabric", Fabric, d.cfg.Lab,
		"standin", "fabric", "--listen", d.fleet.FabricAddr.String(),
		"--control", p.addr(platformNetwork, 2, fabricControlPort).String(), "--seed", strconv.FormatUint(d.cfg.Seed, 10))
	for _, s := range p.Services {
		d.fabric.args = append(d.fabric.args, "--service", p.ServiceAddr(s).String())
	}
	if err := errors.Join(d.platform.start(), d.fabric.start()); err != nil {
		return err
	}
	return errors.Join(
		d.waitReady(ctx, d.platform, func() error { return callJSON(ctx, http.MethodGet, d.storeURL()+platform.ControlPath, nil, nil) }),
		d.waitReady(ctx, d.fabric, func() error { return callJSON(ctx, http.MethodGet, d.fabricURL()+"/knobs", nil, nil) }),
	)
}

// AddBalancer starts another balancer and adds it to the fabric's targets.
func (d *Deployment) AddBalancer(ctx context.Context) (*BalancerHost, error) {
	d.mu.Lock()
	n := len(d.balancers) + 1
	d.mu.Unlock()
	if n > maxBalancers {
		return nil, errkind.New(errkind.Overloaded, "too many balancers", fmt.Sprintf("use at most %d", maxBalancers))
	}
	p := d.cfg.Place
	name := fmt.Sprintf("balancer-%d", n)
	dataCentre := p.dataCentre(n - 1)
	listen, admin := p.addr(balancerNetwork, n, fabricListenPort), p.addr(balancerNetwork, n, adminPort)
	config, err := d.fleet.Balancer(dataCentre, p.addr(balancerNetwork, n, memberPort), listen, admin)
	if err != nil {
		return nil, err
	}
	file, err := d.writeSettings(name, config)
	if err != nil {
		return nil, err
	}
	b := &BalancerHost{Process: d.newProcess(name, Balancer, d.cfg.Binary, "balancer", file), FabricListen: listen, admin: admin}
	b.DataCentre = dataCentre
	if err := b.start(); err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.balancers = append(d.balancers, b)
	d.mu.Unlock()
	return b, d.SprayTo(ctx, d.runningBalancers())
}

// Balancers returns all balancers, including those that have ended.
func (d *Deployment) Balancers() []*BalancerHost {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.balancers)
}

func (d *Deployment) runningBalancers() []*BalancerHost {
	return slices.DeleteFunc(d.Balancers(), func(b *BalancerHost) bool { return !b.Running() })
}

// RunningExcept returns the running balancers other than b. It modifies the slice balancers.
func RunningExcept(balancers []*BalancerHost, b *BalancerHost) []*BalancerHost {
	return slices.DeleteFunc(balancers, func(other *BalancerHost) bool { return other == b || !other.Running() })
}

func (d *Deployment) writeSettings(name string, config any) (string, error) {
	text, err := json.MarshalIndent(config, "", "  ")
	if err != nil {
		return "", err
	}
	file := filepath.Join(d.cfg.Dir, name+".json")
	return file, os.WriteFile(file, text, secretFileMode)
}

// waitReady repeats check until it succeeds, the process ends, or readyTimeout expires.
func (d *Deployment) waitReady(ctx context.Context, p *Process, check func() error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		err := check()
		if err == nil {
			return nil
		}
		if !p.Running() {
			return errkind.Wrap(err, errkind.Unavailable, p.Name+" ended", "read "+filepath.Base(p.log)+" in the folder of the run")
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errkind.Wrap(err, errkind.Unavailable, p.Name+" is not ready", "read "+filepath.Base(p.log)+" in the folder of the run")
		}
	}
}

// Start restarts a process that has ended.
func (d *Deployment) Start(p *Process) error { return p.start() }

// Stop kills all processes of the deployment.
func (d *Deployment) Stop() {
	all := []*Process{d.fabric, d.platform}
	for _, b := range d.Balancers() {
		all = append(all, b.Process)
	}
	for _, h := range d.Hosts {
		all = append(all, h.Agent, h.Backend)
	}
	for _, p := range all {
		if p != nil {
			// SIGKILL also ends a process that is frozen.
			_ = p.Kill()
		}
	}
}
