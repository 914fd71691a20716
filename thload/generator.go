// Package thload is an open-loop load generator: it sends calls at a fixed rate
// whether or not earlier ones have been answered, and records each call.
package thload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
)

const (
	defaultConcurrency = 64
	defaultTimeout     = 10 * time.Second
	idleConnTimeout    = time.Minute
	// backlogSeconds of calls wait for a free caller; a generator that is further
	// behind reports the calls as dropped instead of using memory without bound.
	backlogSeconds = 10
)

// Generator sends calls. Set its fields before Run.
type Generator struct {
	Name            string   // prefix of request ids, unique per generator; random when empty
	Targets         []string // ingress addresses; calls are spread over them
	Host            string   // Host header; the target when empty
	Method          string   // GET when empty
	Path            string   // with query
	Rate            float64  // calls per second
	Duration        time.Duration
	Concurrency     int           // calls at once, 64 when zero
	Timeout         time.Duration // of a try, 10 s when zero; also sent as Th-Deadline
	NonIdempotent   bool          // the route's calls may run at most once; recorded for the checker
	IdempotencyKeys bool          // send an Idempotency-Key
	MaxRetries      int           // further tries with the same key after the outcome unknown
	HTTP2           bool          // HTTP/2 without TLS
	Parts           int           // parts that the answer has, one when zero

	Clock  clockwork.Clock
	Record func(Call) // called by several goroutines; nil records nothing

	stats  statsTable
	client *http.Client
}

type job struct {
	sequence int
	due      time.Time
}

// Run sends the calls and returns when all are answered. The end of ctx stops
// the sending; calls that have been sent are still answered and recorded.
func (g *Generator) Run(ctx context.Context) error {
	if len(g.Targets) == 0 || g.Rate <= 0 {
		return therror.New(therror.Bad, "load: no target or no rate")
	}
	if g.Name == "" {
		g.Name = fmt.Sprintf("%08x", rand.Uint32())
	}
	callers := g.Concurrency
	if callers == 0 {
		callers = defaultConcurrency
	}
	g.client = newClient(callers, g.HTTP2)
	defer g.client.CloseIdleConnections()
	jobs := make(chan job, int(g.Rate*backlogSeconds)+1)
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			for j := range jobs {
				if ctx.Err() == nil {
					g.callWithRetries(ctx, j)
				}
			}
		})
	}
	g.schedule(ctx, jobs)
	close(jobs)
	all.Wait()
	return nil
}

func newClient(callers int, http2 bool) *http.Client {
	d := net.Dialer{Timeout: defaultTimeout}
	var protocols http.Protocols
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	return &http.Client{
		Transport: &http.Transport{
			DialContext: d.DialContext, MaxIdleConnsPerHost: callers, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
			Protocols: &protocols,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// schedule hands out the calls at their due times. Several are handed out at
// once where the clock's resolution is coarser than their distance.
func (g *Generator) schedule(ctx context.Context, jobs chan<- job) {
	clock := thclock.Or(g.Clock)
	start := clock.Now()
	timer := clock.NewTimer(0)
	defer timer.Stop()
	for i := 0; ; i++ {
		after := time.Duration(float64(i) / g.Rate * float64(time.Second))
		if g.Duration > 0 && after >= g.Duration {
			return
		}
		due := start.Add(after)
		if wait := due.Sub(clock.Now()); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.Chan():
			case <-ctx.Done():
				return
			}
		}
		if ctx.Err() != nil {
			return
		}
		select {
		case jobs <- job{i, due}:
		default:
			g.report(Call{ID: g.requestID(i, 0), Due: due, Start: due, End: due, Error: "dropped: all callers busy", Dropped: true})
		}
	}
}

func (g *Generator) requestID(sequence, try int) string {
	return fmt.Sprintf("%s-%d-%d", g.Name, sequence, try)
}

func (g *Generator) callWithRetries(ctx context.Context, j job) {
	key := ""
	if g.IdempotencyKeys {
		key = fmt.Sprintf("%s-%d", g.Name, j.sequence)
	}
	due := j.due
	for try := 0; try <= g.MaxRetries; try++ {
		c := Call{ID: g.requestID(j.sequence, try), Key: key, Once: g.NonIdempotent, Try: try, Due: due}
		// A repeat goes to another target: the caller can't know why the first
		// gave no outcome.
		g.send(context.WithoutCancel(ctx), j.sequence+try, &c)
		g.report(c)
		if c.Outcome != OutcomeUnknown || key == "" || ctx.Err() != nil {
			return
		}
		due = thclock.Or(g.Clock).Now()
	}
}

func (g *Generator) report(c Call) {
	g.stats.add(&c)
	if g.Record != nil {
		g.Record(c)
	}
}

// StatsBySecond returns the results so far, one entry per second of due time.
func (g *Generator) StatsBySecond() []SecondStats {
	g.stats.mutex.Lock()
	defer g.stats.mutex.Unlock()
	list := make([]SecondStats, 0, len(g.stats.buckets))
	for _, s := range g.stats.buckets {
		list = append(list, s.summarise())
	}
	slices.SortFunc(list, func(a, b SecondStats) int { return a.Start.Compare(b.Start) })
	return list
}
