package thhead

import (
	"errors"
	"fmt"
	"net/http"
)

// Transport is an http.Transport that returns an error for a response whose status or header is
// not in the grammar, or that switches protocols.
type Transport struct{ *http.Transport }

// RoundTrip sends a request. After an error the server may have handled it.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkResponse(response); err != nil {
		return nil, errors.Join(fmt.Errorf("malformed response: %w", err), response.Body.Close())
	}
	return response, nil
}

// checkResponse checks the head of a response that net/http has read.
func checkResponse(response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return fmt.Errorf("response is of %.40q, not of HTTP/1", response.Proto)
	case response.StatusCode == http.StatusSwitchingProtocols:
		return errors.New("server switched protocols without being asked to")
	}
	if err := CheckStatus(response.StatusCode); err != nil {
		return err
	}
	return CheckHeader(response.Header)
}
