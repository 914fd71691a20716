package thproxy

import (
	"context"

	"github.com/turmerichaven/turmerichaven/thcrash"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// requestFingerprint returns the fingerprint of the call's request. The body must have been
// loaded.
func (c *call) requestFingerprint() string {
	if c.fingerprint == "" {
		r := c.request
		c.fingerprint = thcrash.Fingerprint(r.Method, r.Host, c.open.Target, c.LocalService, r.ContentLength, c.body.buffered)
	}
	return c.fingerprint
}

// checkQuarantine returns an error of kind Quarantined if the request crashes backend
// servers, and marks the call for the target if the request may have crashed one.
func (c *call) checkQuarantine() error {
	if !c.Crashes.Active() {
		return nil
	}
	state, crashes := c.Crashes.State(c.requestFingerprint())
	c.open.Suspect = ""
	switch state {
	case thcrash.Suspect:
		c.open.Suspect = c.requestFingerprint()
	case thcrash.Quarantined:
		return errQuarantined(crashes)
	case thcrash.Unknown, thcrash.Cleared:
	}
	return nil
}

func errQuarantined(crashes int) error {
	return therror.New(therror.Quarantined, "the request has crashed %d backend servers", crashes)
}

// recordOutcome records whether the backend server of the member has crashed or responded
// while it ran the request.
func (c *call) recordOutcome(m *thwire.Member, err error) {
	switch {
	case c.Crashes == nil:
	case err == nil && c.Crashes.Active():
		c.Crashes.RecordResponse(c.requestFingerprint())
	case therror.Is(err, therror.Crashed):
		instance, born := "", int64(0)
		if m.Server != nil {
			instance, born = m.Server.Instance, m.Server.Born
		}
		c.Crashes.RecordCrash(thcrash.Request{
			Fingerprint: c.requestFingerprint(), ID: c.id(), Method: c.request.Method, Host: c.request.Host,
			Path: shortTarget(c.open.Target), Caller: c.LocalService, Server: m.Name,
		}, thcrash.ProcessID(m.Name, instance, born, c.now()), c.open.Suspect != "")
	}
}

// enterSuspect waits until no other suspect request runs at the backend server, so that a
// crash tells which one caused it. It does not wait for a request that is cleared meanwhile.
// The error is of kind Quarantined, Full or Cancelled.
func (t *Target) enterSuspect(ctx context.Context, fingerprint string) (leave func(), err error) {
	t.suspectOnce.Do(func() { t.suspectSlot = make(chan struct{}, 1) })
	for {
		changed := t.Crashes.Changed()
		switch state, crashes := t.Crashes.State(fingerprint); state {
		case thcrash.Quarantined:
			return nil, errQuarantined(crashes)
		case thcrash.Cleared:
			return func() {}, nil
		case thcrash.Unknown, thcrash.Suspect: // its ingress may know more than this daemon
		}
		select {
		case t.suspectSlot <- struct{}{}:
			return func() { <-t.suspectSlot }, nil
		case <-changed:
		case <-ctx.Done():
			if cause := contextError(ctx); therror.Is(cause, therror.Cancelled) {
				return nil, cause
			}
			return nil, therror.New(therror.Full, "deadline passed while another suspect request ran")
		}
	}
}

// checkSuspect returns an error of kind Quarantined for a suspect request that was quarantined
// while it waited for admission.
func (t *Target) checkSuspect(o *thwire.Open) error {
	if o.Suspect == "" {
		return nil
	}
	if state, crashes := t.Crashes.State(o.Suspect); state == thcrash.Quarantined {
		return errQuarantined(crashes)
	}
	return nil
}
