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
	// probeTimeout bounds one probe flow.
	probeTimeout = 3 * time.Second
	probePause   = 10 * time.Millisecond
	// probesPerRound is the number of new flows to a service between two reads of the counters.
	probesPerRound = 10
)

// WaitServing opens short flows until each host has answered at least one request, which
// proves that new flows of callers reach every host.
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
		var unreached []string
		for i, h := range hosts {
			if err := h.checkRunning(); err != nil {
				return err
			}
			load, err := d.BackendLoad(ctx, h)
			if err != nil || load.Served <= before[i] {
				unreached = append(unreached, h.Agent.Name)
				d.probe(ctx, h.Service)
			}
		}
		if len(unreached) == 0 {
			return nil
		}
		if ctx.Err() != nil {
			return errkind.New(errkind.Unavailable, fmt.Sprintf("no new flow reached %v", unreached),
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

// probe opens a few short flows to a service. It ignores failures: WaitServing
// checks the counters of the backend servers instead.
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
