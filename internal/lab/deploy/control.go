package deploy

import (
	"context"
	"net/http"
	"time"

	"github.com/almondledge/almondledge/internal/standin/backend"
	"github.com/almondledge/almondledge/internal/standin/fabric"
	"github.com/almondledge/almondledge/internal/standin/platform"
)

// SprayTo makes the fabric spray packets over balancers, and sets the delay of each data
// centre to the caller delay of the place.
func (d *Deployment) SprayTo(ctx context.Context, balancers []*BalancerHost) error {
	return d.UpdateFabricKnobs(ctx, func(k *fabric.Knobs) {
		k.Balancers = nil
		for _, b := range balancers {
			k.Balancers = append(k.Balancers, fabric.Balancer{Addr: b.FabricListen, DataCentre: b.DataCentre})
		}
		k.JitterMillis = fabricJitterMillis
		k.DelayMillis = make(map[string]float64)
		for _, name := range d.cfg.Place.DataCentres {
			k.DelayMillis[name] = float64(d.cfg.Place.CallerDelay) / float64(time.Millisecond)
		}
	})
}

// UpdateFabricKnobs reads the knobs of the fabric, applies change, and writes them back.
func (d *Deployment) UpdateFabricKnobs(ctx context.Context, change func(*fabric.Knobs)) error {
	var k fabric.Knobs
	if err := callJSON(ctx, http.MethodGet, d.fabricURL()+"/knobs", nil, &k); err != nil {
		return err
	}
	change(&k)
	return callJSON(ctx, http.MethodPut, d.fabricURL()+"/knobs", k, nil)
}

// ControlPlatform sends a control request to the platform stand-in, which holds the store.
func (d *Deployment) ControlPlatform(ctx context.Context, control platform.Control) error {
	return callJSON(ctx, http.MethodPost, d.storeURL()+platform.ControlPath, control, nil)
}

// SetBackendKnobs replaces the knobs of a backend server.
func (d *Deployment) SetBackendKnobs(ctx context.Context, h *Host, k backend.Knobs) error {
	return callJSON(ctx, http.MethodPut, h.control+"/knobs", k, nil)
}

// BackendLoad returns the load counters of a backend server.
func (d *Deployment) BackendLoad(ctx context.Context, h *Host) (backend.Load, error) {
	var l backend.Load
	err := callJSON(ctx, http.MethodGet, h.control+"/load", nil, &l)
	return l, err
}
