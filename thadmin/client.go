package thadmin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thhead"
)

const (
	// DefaultTimeout is the timeout of one request, including its response body.
	DefaultTimeout = 5 * time.Second
	// maxResponseSize limits the response body, in bytes. It suffices for the
	// status of several thousand members of about 400 bytes each.
	maxResponseSize = 8 << 20
)

// Client sends requests to the admin interface of one daemon.
type Client struct {
	Address netip.AddrPort
	Timeout time.Duration // zero means DefaultTimeout
	HTTP    *http.Client  // nil means a client that uses no proxy
}

// noProxyClient ignores the proxy settings of the environment, since daemons are
// addressed by IP.
var noProxyClient = &http.Client{
	Transport:     thhead.Transport{Transport: &http.Transport{DisableKeepAlives: true}},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// Status returns the daemon's status. Errors are of kind Down, Cancelled or Broken;
// Broken means a malformed or oversized response.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	body, err := c.do(ctx, http.MethodGet, "/status", nil)
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return Status{}, therror.Wrap(therror.Broken, err, "status of %s", c.Address)
	}
	return s, nil
}

// Poke makes the daemon read the head of the configuration immediately.
func (c *Client) Poke(ctx context.Context) error {
	_, err := c.do(ctx, http.MethodPost, "/poke", nil)
	return err
}

// SendChange sends a committed change to the daemon. If the change does not follow
// the daemon's version, the daemon reads the head of the configuration instead.
func (c *Client) SendChange(ctx context.Context, change thconfig.Change) error {
	body, err := change.MarshalMsg(nil)
	if err != nil {
		return therror.Wrap(therror.Internal, err, "encode change")
	}
	_, err = c.do(ctx, http.MethodPost, "/poke", body)
	return err
}

// Release makes the daemon, and through it the fleet, end the quarantine of a request. The
// error is of kind Bad for a malformed fingerprint, and Absent if the request is not
// quarantined.
func (c *Client) Release(ctx context.Context, fingerprint string) error {
	_, err := c.do(ctx, http.MethodPost, "/release/"+url.PathEscape(fingerprint), nil)
	return err
}

// do sends a request and returns the response body.
func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, therror.Wrap(therror.Bad, err, "admin address %s", c.Address)
	}
	client := c.HTTP
	if client == nil {
		client = noProxyClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, c.wrapError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize+1))
	switch {
	case err != nil:
		return nil, c.wrapError(err)
	case len(content) > maxResponseSize:
		return nil, therror.New(therror.Broken, "admin address %s: response of %s exceeds %d bytes", c.Address, path, maxResponseSize)
	case resp.StatusCode == http.StatusBadRequest:
		return nil, therror.New(therror.Bad, "admin address %s: %s", c.Address, strings.TrimSpace(string(content)))
	case resp.StatusCode == http.StatusNotFound:
		return nil, therror.New(therror.Absent, "admin address %s: %s", c.Address, strings.TrimSpace(string(content)))
	case resp.StatusCode/100 != 2:
		return nil, therror.New(therror.Down, "admin address %s: %s answered %s", c.Address, path, resp.Status)
	}
	return content, nil
}

// wrapError returns err with kind Cancelled if the caller cancelled, else Down.
func (c *Client) wrapError(err error) error {
	if errors.Is(err, context.Canceled) {
		return therror.Wrap(therror.Cancelled, err, "admin address %s", c.Address)
	}
	return therror.Wrap(therror.Down, err, "admin address %s", c.Address)
}
