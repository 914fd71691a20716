package thproxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	// maxDownloadRoutes bounds the memory for what is learned of routes; further ones count as
	// routes with small responses.
	maxDownloadRoutes = 4096
	// learnedWeight is the weight of a response in the averages of its route: the last eight
	// or so count, so that a few unusual ones change little.
	learnedWeight = 1.0 / 8
)

// Downloads admits calls of routes with large responses when the network link of this daemon
// can send them soon after they are ready. So they finish one after the other, and those that
// would be late because of the link are rejected before they run. Calls of other routes are
// admitted at once, and so are all calls if the speed of the link is unknown or Downloads is nil.
type Downloads struct {
	Link  *thwire.Link
	Clock clockwork.Clock

	mutex     sync.Mutex
	routes    map[string]*routeResponses
	committed int64       // bytes of admitted responses that are not ready
	queue     []*Download // see Download.goesBefore, then in the order of their arrival
	timer     clockwork.Timer
}

// routeResponses are moving averages over the responses of a route.
type routeResponses struct {
	bytes float64
	time  float64 // until the response header, in ns
}

// Download is a call of a route with large responses. The methods of a nil Download do nothing.
type Download struct {
	downloads *Downloads
	priority  int
	late      bool // the response will miss its objective
	bytes     int64
	work      time.Duration // expected time until the response header
	due       time.Time     // by which the response should be sent; zero without a limit
	decided   chan struct{} // closed when admitted or rejected
	rejection error
	waits     bool // it is rejected if it would be late when it is its turn
	admitted  bool
	sending   bool
}

// Enter waits until the call may be sent to the backend server. The result is nil for calls
// that are not limited. Errors are of kind Full or Cancelled, and mean that the call has not run.
func (d *Downloads) Enter(ctx context.Context, o *thwire.Open) (*Download, error) {
	if d == nil || !d.Link.Known() {
		return nil, nil
	}
	deadline, _ := ctx.Deadline()
	x, err := d.enter(o, deadline)
	if x == nil || err != nil {
		return nil, err
	}
	select {
	case <-x.decided:
	case <-ctx.Done():
		x.Done()
		if err := contextError(ctx); !therror.Is(err, therror.Late) {
			return nil, err
		}
		return nil, therror.New(therror.Full, "deadline passed while the network link was busy")
	}
	if x.rejection != nil {
		return nil, x.rejection
	}
	return x, nil
}

// enter admits the call, rejects it or puts it into the queue.
func (d *Downloads) enter(o *thwire.Open, deadline time.Time) (*Download, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	r := d.routes[o.Route]
	if r == nil || !thwire.IsLarge(int64(r.bytes)) {
		return nil, nil
	}
	now := d.now()
	x := &Download{
		downloads: d, priority: o.Priority, bytes: int64(r.bytes), work: time.Duration(r.time),
		due: deadline, decided: make(chan struct{}),
	}
	// The objective is the limit unless it is missed anyway, as a late response is worth
	// less than another one that takes its place on the link.
	if goal := now.Add(time.Duration(o.Goal)); o.Goal > 0 && !o.Late && !d.sentAt(x, now, 0).After(goal) {
		x.due = goal
	} else {
		x.late = o.Late || o.Goal > 0
	}
	place := slices.IndexFunc(d.queue, x.goesBefore)
	if place < 0 {
		place = len(d.queue)
	}
	before := d.committed
	for _, q := range d.queue[:place] {
		before += q.bytes
	}
	ahead := d.Link.Backlog() + d.Link.Transfer(before)
	excess := ahead - x.allowance()
	x.waits = excess > 0
	// The margin of one response is for small ones that are sent before it in the meantime.
	if x.waits && x.isLate(d.sentAt(x, now, ahead+d.Link.Transfer(x.bytes))) {
		return nil, busyError(excess)
	}
	d.queue = slices.Insert(d.queue, place, x)
	d.advance()
	return x, nil
}

// goesBefore orders calls by priority. Within a priority, those that can still meet their
// objective go before late ones: a busy link would otherwise send responses that are late already
// in place of new ones, which would all become late in turn.
func (x *Download) goesBefore(q *Download) bool {
	if x.priority != q.priority {
		return x.priority < q.priority
	}
	return !x.late && q.late
}

func busyError(wait time.Duration) error {
	return therror.New(therror.Full, "the network link is busy with other large responses").WithRetryAfter(max(wait, 0))
}

func (d *Downloads) now() time.Time { return thclock.OrSystem(d.Clock).Now() }

// sentAt returns when the response of x would be sent if the link were busy for a time before.
func (d *Downloads) sentAt(x *Download, now time.Time, ahead time.Duration) time.Time {
	return now.Add(max(ahead, x.work) + d.Link.Transfer(x.bytes))
}

func (x *Download) isLate(sent time.Time) bool { return !x.due.IsZero() && sent.After(x.due) }

// allowance is the time for which the link may be busy when the call is admitted: until its
// response is ready, and for one further response, so that the link is not idle if the
// response is ready earlier.
func (x *Download) allowance() time.Duration {
	return x.work + x.downloads.Link.Transfer(x.bytes)
}

// advance admits the calls at the head of the queue for which the link is free, and sets the
// timer for the next one. The mutex is held.
func (d *Downloads) advance() {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	now := d.now()
	for len(d.queue) > 0 {
		x := d.queue[0]
		ahead := d.Link.Backlog() + d.Link.Transfer(d.committed)
		late := x.waits && x.isLate(d.sentAt(x, now, ahead))
		if excess := ahead - x.allowance(); !late && excess > 0 {
			d.timer = thclock.OrSystem(d.Clock).AfterFunc(excess, func() {
				d.mutex.Lock()
				defer d.mutex.Unlock()
				d.advance()
			})
			return
		}
		d.queue = slices.Delete(d.queue, 0, 1)
		if late {
			x.rejection = busyError(ahead - x.allowance())
		} else {
			x.admitted = true
			d.committed += x.bytes
		}
		close(x.decided)
	}
}

// Sending is called when the response header has arrived. The bytes of the response count on
// the link from then on, as they are queued.
func (x *Download) Sending() {
	if x == nil {
		return
	}
	d := x.downloads
	d.mutex.Lock()
	defer d.mutex.Unlock()
	x.release()
}

// release ends the commitment to the bytes of the response. The mutex is held.
func (x *Download) release() {
	if d := x.downloads; x.admitted && !x.sending {
		x.sending = true
		d.committed -= x.bytes
		d.advance()
	}
}

// Done is called at the end of the call.
func (x *Download) Done() {
	if x == nil {
		return
	}
	d := x.downloads
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if i := slices.Index(d.queue, x); i >= 0 {
		d.queue = slices.Delete(d.queue, i, i+1)
		d.advance()
	}
	x.release()
}

// Observe records the size of a complete response of a route and the time until its header.
func (d *Downloads) Observe(route string, bytes int64, latency time.Duration) {
	if d == nil || !d.Link.Known() {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	r := d.routes[route]
	if r == nil {
		if len(d.routes) >= maxDownloadRoutes {
			return
		}
		if d.routes == nil {
			d.routes = map[string]*routeResponses{}
		}
		d.routes[route] = &routeResponses{bytes: float64(bytes), time: float64(latency)}
		return
	}
	r.bytes += (float64(bytes) - r.bytes) * learnedWeight
	r.time += (float64(latency) - r.time) * learnedWeight
}

// LinkTime returns the time until a response of the route would be sent if it were ready now
// and the admitted and waiting calls came first.
func (d *Downloads) LinkTime(route string) time.Duration {
	if d == nil || !d.Link.Known() {
		return 0
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	r := d.routes[route]
	if r == nil {
		return d.Link.Time(0)
	}
	wait := d.Link.Time(int64(r.bytes))
	if thwire.IsLarge(int64(r.bytes)) {
		before := d.committed
		for _, q := range d.queue {
			before += q.bytes
		}
		wait += d.Link.Transfer(before)
	}
	return wait
}
