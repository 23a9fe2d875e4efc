package deploy

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/lab/caller"
	"github.com/almondledge/almondledge/internal/localfleet"
)

const (
	// servingTimeout bounds the wait until new flows reach all backend servers.
	servingTimeout = 60 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 3 * time.Second
	probePause   = 10 * time.Millisecond
	// probesPerRound is the number of new flows to a service between two looks at the counters.
	probesPerRound = 10
)

// WaitServing opens short flows until each of the hosts has answered one: the
// proof, from a caller's side, that new work reaches them.
func (d *Deployment) WaitServing(ctx context.Context, hosts []*Host) error {
	ctx, cancel := context.WithTimeout(ctx, servingTimeout)
	defer cancel()
	before := make([]uint64, len(hosts))
	for i, h := range hosts {
		if load, err := d.BackendLoad(ctx, h); err == nil {
			before[i] = load.Served
		}
	}
	for {
		var waiting []string
		for i, h := range hosts {
			if err := h.checkRunning(); err != nil {
				return err
			}
			load, err := d.BackendLoad(ctx, h)
			if err != nil || load.Served <= before[i] {
				waiting = append(waiting, h.Agent.Name)
				d.probe(ctx, h.Service)
			}
		}
		if len(waiting) == 0 {
			return nil
		}
		if ctx.Err() != nil {
			return errkind.New(errkind.Unavailable, fmt.Sprintf("no new flow reaches %v", waiting),
				"read the logs in the folder of the run")
		}
	}
}

// checkRunning returns an error if a process of the host has ended.
func (h *Host) checkRunning() error {
	for _, p := range []*Process{h.Agent, h.Backend} {
		if !p.Running() {
			return errkind.New(errkind.Unavailable, p.Name+" has ended", "read "+filepath.Base(p.log)+" in the folder of the run")
		}
	}
	return nil
}

// probe opens a few short flows to a service. Failures are looked for by the
// caller of probe, in the counters of the backend servers.
func (d *Deployment) probe(ctx context.Context, serviceName string) {
	for _, s := range d.cfg.Place.Services {
		if s.Name != serviceName {
			continue
		}
		for range probesPerRound {
			d.probeOnce(ctx, s)
		}
	}
}

func (d *Deployment) probeOnce(ctx context.Context, s ServicePlan) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	flow, err := caller.NewFlow(caller.Config{
		Address:    d.cfg.Place.ServiceAddr(s),
		ServerName: localfleet.CallerHost,
		TLS:        d.TLS(),
	})
	if err != nil {
		return
	}
	defer flow.Close()
	_ = flow.Sheet(ctx, "probe", 1, 0)
	time.Sleep(probePause)
}
