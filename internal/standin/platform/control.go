package platform

import (
	"encoding/json"
	"io"
	"net/http"
)

// ControlPath is the control endpoint. GET returns a ControlState; POST takes a Control.
const ControlPath = "/standin/control"

// Control is the body of a POST to the control endpoint. Fields that are left out change nothing.
type Control struct {
	Faults       *Faults `json:"faults,omitempty"`
	ExpireLeases bool    `json:"expireLeases,omitempty"`
	Compact      bool    `json:"compact,omitempty"`
	// RestoreRevision, if positive, is the revision whose state is restored.
	RestoreRevision int64 `json:"restoreRevision,omitempty"`
}

// ControlState is the answer of the control endpoint.
type ControlState struct {
	Faults   Faults `json:"faults"`
	Counts   Counts `json:"counts"`
	Revision int64  `json:"revision"`
}

func (p *Platform) serveControl(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
		var control Control
		if err == nil {
			err = json.Unmarshal(body, &control)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.Apply(control)
	}
	reply(w, ControlState{Faults: p.Faults(), Counts: p.Counts(), Revision: p.Revision()})
}

// Apply performs the operations that control requests.
func (p *Platform) Apply(control Control) {
	if control.Faults != nil {
		p.SetFaults(*control.Faults)
	}
	if control.ExpireLeases {
		p.ExpireLeases()
	}
	if control.Compact {
		p.Compact()
	}
	if control.RestoreRevision > 0 {
		p.Restore(control.RestoreRevision)
	}
}
