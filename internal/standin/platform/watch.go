package platform

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/almondledge/almondledge/internal/store/etcdapi"
)

// watchTick is the period at which an open watch counts as one read and checks for
// expired leases.
const watchTick = time.Second

// progressTicks is the number of ticks without an event after which a watch sends a
// progress notification.
const progressTicks = 600

// watch is one open watch.
type watch struct {
	platform     *Platform
	w            http.ResponseWriter
	request      etcdapi.WatchCreateRequest
	nextRevision int64 // the first revision whose events have not been sent
	epoch        int   // the platform's epoch when the watch was opened
	idleTicks    int   // ticks since the last event
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, body []byte) {
	var request etcdapi.WatchRequest
	if !decode(w, body, &request) {
		return
	}
	p.mu.Lock()
	p.counts.Watches++
	nextRevision := int64(request.Create.StartRevision)
	if nextRevision == 0 {
		nextRevision = p.data.revision + 1
	}
	open := &watch{platform: p, w: w, request: request.Create, nextRevision: nextRevision, epoch: p.epoch}
	header := p.headerLocked()
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	open.send(etcdapi.WatchResult{Header: header, Created: true})
	open.run(r)
}

// run sends events until the caller disconnects, the watch is cancelled or a fault ends it.
func (o *watch) run(r *http.Request) {
	ticker := time.NewTicker(watchTick)
	defer ticker.Stop()
	for {
		wake, alive := o.sendNew()
		if !alive {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-wake:
		case <-ticker.C:
			o.tick()
		}
	}
}

// sendNew sends the new events. It returns a channel that is closed at the next
// change, and false when the watch has ended.
func (o *watch) sendNew() (wake <-chan struct{}, alive bool) {
	p := o.platform
	p.mu.Lock()
	p.expireLocked()
	wake = p.wake
	silent := p.faults.SilentWatches
	lost := p.faults.Down || p.epoch != o.epoch
	compacted := p.data.compacted
	header := p.headerLocked()
	var events []etcdapi.Event
	if !silent && !lost && o.nextRevision > compacted {
		events = p.data.eventsSince(o.request.Key, o.request.RangeEnd, o.nextRevision)
	}
	p.mu.Unlock()
	switch {
	case lost:
		panic(http.ErrAbortHandler)
	case silent:
		return wake, true
	case o.nextRevision <= compacted:
		o.send(etcdapi.WatchResult{Header: header, Canceled: true, CompactRevision: etcdapi.Int64(compacted)})
		return wake, false
	}
	o.nextRevision = max(o.nextRevision, int64(header.Revision)+1)
	if len(events) > 0 {
		o.idleTicks = 0
		o.send(etcdapi.WatchResult{Header: header, Events: events})
	}
	return wake, true
}

// tick counts the open watch as one read. It sends a progress notification if the
// caller asked for them and the watch is idle.
func (o *watch) tick() {
	p := o.platform
	p.reads.AllowN(p.now(), 1)
	p.mu.Lock()
	p.counts.WatchSeconds++
	silent := p.faults.SilentWatches
	header := p.headerLocked()
	p.mu.Unlock()
	o.idleTicks++
	if !silent && o.request.ProgressNotify && o.idleTicks%progressTicks == 0 && int64(header.Revision) < o.nextRevision {
		o.send(etcdapi.WatchResult{Header: header})
	}
}

func (o *watch) send(result etcdapi.WatchResult) {
	_ = json.NewEncoder(o.w).Encode(etcdapi.WatchMessage{Result: &result})
	_ = http.NewResponseController(o.w).Flush()
}
