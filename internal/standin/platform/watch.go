package platform

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/almondledge/almondledge/internal/store/etcdapi"
)

// watchTick is how often a waiting watch counts as a read and looks for expired leases.
const watchTick = time.Second

// progressTicks is the number of quiet ticks after which a watch reports its progress.
const progressTicks = 600

// watch is one open watch.
type watch struct {
	platform *Platform
	w        http.ResponseWriter
	request  etcdapi.WatchCreateRequest
	next     int64
	epoch    int
	quiet    int
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, body []byte) {
	var request etcdapi.WatchRequest
	if !decode(w, body, &request) {
		return
	}
	p.mu.Lock()
	p.counts.Watches++
	next := int64(request.Create.StartRevision)
	if next == 0 {
		next = p.data.revision + 1
	}
	open := &watch{platform: p, w: w, request: request.Create, next: next, epoch: p.epoch}
	header := p.headerLocked()
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	open.send(etcdapi.WatchResult{Header: header, Created: true})
	open.run(r)
}

// run sends events until the caller leaves, the watch ends or a fault ends it.
func (o *watch) run(r *http.Request) {
	ticker := time.NewTicker(watchTick)
	defer ticker.Stop()
	for {
		wake, alive := o.step()
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

// step sends what is new. It returns the channel to wait on, and false when the
// watch is over.
func (o *watch) step() (wake <-chan struct{}, alive bool) {
	p := o.platform
	p.mu.Lock()
	p.expireLocked()
	wake = p.wake
	silent := p.faults.SilentWatches
	lost := p.faults.Down || p.epoch != o.epoch
	compacted := p.data.compacted
	header := p.headerLocked()
	var events []etcdapi.Event
	if !silent && !lost && o.next > compacted {
		events = p.data.since(o.request.Key, o.request.RangeEnd, o.next)
	}
	p.mu.Unlock()
	switch {
	case lost:
		panic(http.ErrAbortHandler)
	case silent:
		return wake, true
	case o.next <= compacted:
		o.send(etcdapi.WatchResult{Header: header, Canceled: true, CompactRevision: etcdapi.Int64(compacted)})
		return wake, false
	}
	o.next = max(o.next, int64(header.Revision)+1)
	if len(events) > 0 {
		o.quiet = 0
		o.send(etcdapi.WatchResult{Header: header, Events: events})
	}
	return wake, true
}

// tick counts a waiting watch as one read and reports progress when asked to.
func (o *watch) tick() {
	p := o.platform
	p.reads.AllowN(p.now(), 1)
	p.mu.Lock()
	p.counts.WatchSeconds++
	silent := p.faults.SilentWatches
	header := p.headerLocked()
	p.mu.Unlock()
	o.quiet++
	if !silent && o.request.ProgressNotify && o.quiet%progressTicks == 0 && int64(header.Revision) < o.next {
		o.send(etcdapi.WatchResult{Header: header})
	}
}

func (o *watch) send(result etcdapi.WatchResult) {
	_ = json.NewEncoder(o.w).Encode(etcdapi.WatchMessage{Result: &result})
	_ = http.NewResponseController(o.w).Flush()
}
