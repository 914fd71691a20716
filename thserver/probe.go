package thserver

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"

	"github.com/turmerichaven/turmerichaven/thhead"
)

// probeClient is the default client for probes. It does not follow redirects, which
// could lead to another machine.
var probeClient = &http.Client{
	Transport:     thhead.Transport{Transport: http.DefaultTransport.(*http.Transport).Clone()},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// probeOutcome is the result of one probe, with the state of the connection.
type probeOutcome struct {
	reached     bool // the server responded, or accepted a connection if it has no health endpoint
	connRefused bool // no process listens on the address
	result      ProbeResult
}

// probe requests the health endpoint or, without one, connects to the server, and
// requests the load endpoint if there is one. The load endpoint responds with JSON
// {"load": N}; an invalid response counts as none.
func (w *Watcher) probe(ctx context.Context, r *registration) probeOutcome {
	timeout := w.Timeout
	if timeout == 0 {
		timeout = probeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var p probeOutcome
	if r.Health != "" {
		status, _, err := w.get(ctx, r, r.Health)
		p.reached, p.connRefused = err == nil, errors.Is(err, syscall.ECONNREFUSED)
		p.result.Healthy = err == nil && status == http.StatusOK
	} else {
		err := dial(ctx, r.address.String())
		p.reached, p.connRefused = err == nil, errors.Is(err, syscall.ECONNREFUSED)
		p.result.Healthy = p.reached
	}
	if r.Load == "" || !p.reached {
		return p
	}
	status, body, err := w.get(ctx, r, r.Load)
	var load struct {
		Load *int `json:"load"`
	}
	if err == nil && status == http.StatusOK && json.Unmarshal(body, &load) == nil && load.Load != nil && *load.Load >= 0 {
		p.result.Load, p.result.HasLoad = *load.Load, true
	}
	return p
}

// get requests a path of the server and returns the status and up to maxBodyBytes of the body.
func (w *Watcher) get(ctx context.Context, r *registration, path string) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.address.String()+path, nil)
	if err != nil {
		return 0, nil, err
	}
	client := w.Client
	if client == nil {
		client = probeClient
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	return response.StatusCode, body, errors.Join(err, response.Body.Close())
}

// dial checks that the address accepts a TCP connection.
func dial(ctx context.Context, address string) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.Close()
}
