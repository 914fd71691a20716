package thdaemon

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/thproxy"
	"github.com/turmerichaven/turmerichaven/thsettings"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// drainPollInterval is how often a stopping daemon checks for calls in progress.
const drainPollInterval = 10 * time.Millisecond

// sessions are the call sessions that other daemons have opened.
type sessions struct {
	mu        sync.Mutex
	all       map[*thwire.Session]struct{}
	goingAway bool // goAway was called
}

func (s *sessions) serve(c net.Conn, t *thproxy.Target, limit *thwire.BufferLimit, link *thwire.Link) {
	session := thwire.ServeCallsOnLink(c, func(i *thwire.Incoming) { t.Serve(i) }, limit, link)
	s.mu.Lock()
	if s.all == nil {
		s.all = map[*thwire.Session]struct{}{}
	}
	s.all[session] = struct{}{}
	goingAway := s.goingAway
	s.mu.Unlock()
	if goingAway {
		session.GoAway("stopping")
	}
	go func() {
		<-session.Done()
		s.mu.Lock()
		delete(s.all, session)
		s.mu.Unlock()
	}()
}

// goAway tells all peers, including later ones, to open no further streams.
func (s *sessions) goAway(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.goingAway = true
	for session := range s.all {
		session.GoAway(reason)
	}
}

func (s *sessions) active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for session := range s.all {
		n += session.Active()
	}
	return n
}

func (s *sessions) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for session := range s.all {
		session.Close()
	}
}

// shutdownMargin is the time reserved for closing the daemon after the last call.
const shutdownMargin = 500 * time.Millisecond

// gracePeriod returns the time after the notice for calls in progress to complete. It
// is the configured grace time, or, if the platform's time limit of a stop is set, what
// the notice and shutdownMargin leave of that limit.
func gracePeriod(s thsettings.StopSettings) time.Duration {
	if s.Limit == 0 {
		return s.Grace
	}
	return max(s.Limit-s.Notice-shutdownMargin, 0)
}

// timeLeft returns the time until the end of a stopping daemon. It returns false until the
// end of the notice: by then callers know that the daemon stops, and few calls still come.
func (d *Daemon) timeLeft() (time.Duration, bool) {
	end := d.endsAt.Load()
	if end == 0 {
		return 0, false
	}
	return -thclock.Since(end, d.Clock.Now()), true
}

// endsIn returns the time until the end of a stopping daemon, from the signal on.
func (d *Daemon) endsIn() (time.Duration, bool) {
	end := d.stopsAt.Load()
	if end == 0 {
		return 0, false
	}
	return -thclock.Since(end, d.Clock.Now()), true
}

// stop drains the daemon: it notifies the fleet, waits for the notice to spread,
// and then waits up to gracePeriod for calls in progress to complete.
func (d *Daemon) stop(ctx context.Context) {
	d.Log.Info("daemon stops", "notice", d.Settings.Stop.Notice, "grace", gracePeriod(d.Settings.Stop))
	d.stopsAt.Store(thclock.Stamp(d.Clock.Now().Add(d.Settings.Stop.Notice + gracePeriod(d.Settings.Stop))))
	d.draining.Store(true)
	d.ingressServer.Drain()
	d.node.Leave()
	d.sessions.goAway("stopping")
	// A store that does not respond must not shorten the time for the calls.
	d.work.Go(func() { d.announcer.withdraw(ctx) })
	d.work.Go(func() { d.usage.yield(ctx, d.Settings.Stop.Notice+gracePeriod(d.Settings.Stop)) })
	d.Clock.Sleep(d.Settings.Stop.Notice)
	d.endsAt.Store(thclock.Stamp(d.Clock.Now().Add(gracePeriod(d.Settings.Stop))))
	grace, cancel := context.WithTimeout(ctx, gracePeriod(d.Settings.Stop))
	defer cancel()
	if err := errors.Join(d.ingressServer.Shutdown(grace), d.http2Server.Shutdown(grace)); err != nil {
		d.Log.Warn("calls cut at the end of the grace time", "error", err)
	}
	for d.sessions.active() > 0 && grace.Err() == nil {
		d.Clock.Sleep(drainPollInterval)
	}
	if n := d.sessions.active(); n > 0 {
		d.Log.Warn("calls of other daemons cut at the end of the grace time", "calls", n)
	}
	if d.claimGuard != nil {
		d.claimGuard.Wait()
	}
}

// close stops all components and cancels calls that are still in progress.
func (d *Daemon) close() {
	if d.ingressServer != nil {
		_ = d.ingressServer.Close()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.sessions.close()
	d.updater.stop()
	d.dialer.Close()
	for _, stop := range []func(){d.usage.stop, d.mover.Stop, d.replica.Stop, d.background.Stop, d.listener.Stop, d.node.Stop} {
		stop()
	}
	for _, stop := range d.closers {
		stop()
	}
	if d.announcer.done != nil {
		<-d.announcer.done
	}
	d.work.Wait()
}
