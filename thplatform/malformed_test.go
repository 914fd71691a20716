package thplatform_test

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thplatform"
	"github.com/turmerichaven/turmerichaven/thstandin"
)

// Guards against a malformed response that the platform counts as having given.
func TestMalformedHeaderOfPlatformIsAnError(t *testing.T) {
	server := httptest.NewServer(thstandin.MalformedResponse)
	defer server.Close()
	client := thplatform.NewHTTPClient(1 << 20)
	defer client.CloseIdleConnections()
	response, err := client.Get(server.URL)
	if !assert.Check(t, err != nil) {
		response.Body.Close()
	}
}
