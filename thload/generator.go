// Package thload is an open-loop load generator: it sends calls at a fixed rate
// whether or not earlier calls have completed, and records each attempt.
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
	// backlogSeconds bounds the queue of due calls, in seconds of the rate. Calls
	// beyond it are reported as dropped, so that memory stays bounded.
	backlogSeconds = 10
)

// Generator sends calls. Set its exported fields before Run.
type Generator struct {
	Name            string        // prefix of request ids, unique per generator; random when empty
	Targets         []string      // ingress addresses, which take calls in turn
	Host            string        // Host header; the target when empty
	Method          string        // GET when empty
	Path            string        // request path with query
	Rate            float64       // calls per second
	Duration        time.Duration // of the sending; until ctx ends when zero
	Concurrency     int           // maximum of concurrent calls; 64 when zero
	Timeout         time.Duration // of an attempt, also sent as Th-Deadline; 10 s when zero
	NonIdempotent   bool          // the route's calls may run at most once; recorded in Call.Once for the checker
	IdempotencyKeys bool          // send header Idempotency-Key, the same for all attempts of a call
	MaxRetries      int           // retries after OutcomeUnknown; only with IdempotencyKeys
	HTTP2           bool          // HTTP/2 without TLS instead of HTTP/1.1
	Parts           int           // parts of the expected response; one when zero

	Clock  clockwork.Clock
	Record func(Call) // called concurrently for each attempt; may be nil

	stats  statsTable
	client *http.Client
}

// job is one scheduled call.
type job struct {
	sequence int
	due      time.Time
}

// Run sends the calls and returns when all have completed. When ctx ends it sends no
// more calls, but waits for the calls that have been sent and records them.
func (g *Generator) Run(ctx context.Context) error {
	if len(g.Targets) == 0 || g.Rate <= 0 {
		return therror.New(therror.Bad, "load generator: no targets, or the rate isn't positive")
	}
	if g.Name == "" {
		g.Name = fmt.Sprintf("%08x", rand.Uint32())
	}
	concurrency := g.Concurrency
	if concurrency == 0 {
		concurrency = defaultConcurrency
	}
	g.client = newClient(concurrency, g.HTTP2)
	defer g.client.CloseIdleConnections()
	jobs := make(chan job, int(g.Rate*backlogSeconds)+1)
	var all sync.WaitGroup
	for range concurrency {
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

// newClient returns a client that keeps an idle connection for each concurrent call
// and doesn't follow redirects.
func newClient(concurrency int, http2 bool) *http.Client {
	d := net.Dialer{Timeout: defaultTimeout}
	var protocols http.Protocols
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	return &http.Client{
		Transport: &http.Transport{
			DialContext: d.DialContext, MaxIdleConnsPerHost: concurrency, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
			Protocols: &protocols,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// schedule queues the calls at their due times. It queues several calls together if
// the clock's resolution is coarser than the interval between calls.
func (g *Generator) schedule(ctx context.Context, jobs chan<- job) {
	clock := thclock.OrSystem(g.Clock)
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
			g.report(Call{ID: g.requestID(i, 0), Due: due, Start: due, End: due, Error: "dropped: the queue of due calls is full", Dropped: true})
		}
	}
}

func (g *Generator) requestID(sequence, attempt int) string {
	return fmt.Sprintf("%s-%d-%d", g.Name, sequence, attempt)
}

// callWithRetries sends a call, and retries it while its outcome is unknown, it has a
// key and ctx hasn't ended.
func (g *Generator) callWithRetries(ctx context.Context, j job) {
	key := ""
	if g.IdempotencyKeys {
		key = fmt.Sprintf("%s-%d", g.Name, j.sequence)
	}
	due := j.due
	for attempt := 0; attempt <= g.MaxRetries; attempt++ {
		c := Call{ID: g.requestID(j.sequence, attempt), Key: key, Once: g.NonIdempotent, Try: attempt, Due: due}
		// A retry goes to the next target, since the caller can't know why the
		// earlier attempt had no outcome.
		g.send(context.WithoutCancel(ctx), j.sequence+attempt, &c)
		g.report(c)
		if c.Outcome != OutcomeUnknown || key == "" || ctx.Err() != nil {
			return
		}
		due = thclock.OrSystem(g.Clock).Now()
	}
}

func (g *Generator) report(c Call) {
	g.stats.add(&c)
	if g.Record != nil {
		g.Record(c)
	}
}

// StatsBySecond returns the results so far, one entry per second of due time, in
// order of time.
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
