package thstandin_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thstandin"
)

// send sends a request and returns the status and body of the response; target is the
// DynamoDB operation, empty for other requests.
func send(t *testing.T, method, url, target, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	assert.NilError(t, err)
	if target != "" {
		r.Header.Set("X-Amz-Target", "DynamoDB_20120810."+target)
	}
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer response.Body.Close()
	out, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(out)
}

// Guards against a fault that has no effect, or that affects the other service.
func TestFaultPath(t *testing.T) {
	server := httptest.NewServer(&thstandin.Platform{})
	defer server.Close()
	code, body := send(t, http.MethodPost, server.URL+thstandin.FaultPath, "", `{"table":{"fail":true,"delay":"1ms","rate":5}}`)
	assert.Equal(t, code, http.StatusOK, body)
	code, body = send(t, http.MethodPost, server.URL, "GetItem", `{"TableName":"t","Key":{"pk":{"S":"p"},"sk":{"S":"s"}}}`)
	assert.Equal(t, code, http.StatusInternalServerError)
	assert.Assert(t, strings.Contains(body, "InternalServerError"), body)
	code, _ = send(t, http.MethodPut, server.URL+"/b/o", "", "x")
	assert.Equal(t, code, http.StatusOK)
	code, _ = send(t, http.MethodPost, server.URL+thstandin.FaultPath, "", `{"table":{"delay":"soon"}}`)
	assert.Equal(t, code, http.StatusBadRequest)
	_, body = send(t, http.MethodGet, server.URL+thstandin.FaultPath, "", "")
	var s thstandin.PlatformStatus
	assert.NilError(t, json.Unmarshal([]byte(body), &s))
	assert.DeepEqual(t, s, thstandin.PlatformStatus{
		Table:  thstandin.ServiceStatus{Fault: thstandin.Fault{Fail: true, Delay: "1ms", Rate: 5}, Reads: 1},
		Object: thstandin.ServiceStatus{Writes: 1},
	})
}

// Guards against reporting success for an unsupported request.
func TestUnsupportedRequests(t *testing.T) {
	server := httptest.NewServer(&thstandin.Platform{})
	defer server.Close()
	for target, body := range map[string]string{
		"UpdateItem":       `{}`,
		"GetItem":          `{"Key":{}}`,
		"Query":            `{"KeyConditionExpression":"begins_with(sk, :p)"}`,
		"PutItem":          `{"Item":{"pk":{"S":"p"},"sk":{"S":"s"}},"ConditionExpression":"size(x) > :n"}`,
		"DeleteItem":       `no JSON`,
		"TransactGetItems": `{"TransactItems":[{}]}`,
	} {
		code, out := send(t, http.MethodPost, server.URL, target, body)
		assert.Equal(t, code, http.StatusBadRequest, "%s: %s", target, out)
		assert.Assert(t, strings.Contains(out, "Exception"), "%s: %s", target, out)
	}
	code, out := send(t, http.MethodDelete, server.URL+"/b/o", "", "")
	assert.Equal(t, code, http.StatusNotImplemented, out)
	code, out = send(t, http.MethodGet, server.URL+"/b/o?acl", "", "")
	assert.Equal(t, code, http.StatusNotImplemented, out)
}

// Guards against keeping expired items, such as old announcements: DynamoDB deletes them.
func TestItemsExpire(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	server := httptest.NewServer(&thstandin.Platform{Clock: clock})
	defer server.Close()
	key := `{"pk":{"S":"p"},"sk":{"S":"s"}}`
	code, body := send(t, http.MethodPost, server.URL, "PutItem", `{"TableName":"t","Item":{"pk":{"S":"p"},"sk":{"S":"s"},"expires":{"N":"1060"}}}`)
	assert.Equal(t, code, http.StatusOK, body)
	_, body = send(t, http.MethodPost, server.URL, "GetItem", `{"TableName":"t","Key":`+key+`}`)
	assert.Assert(t, strings.Contains(body, "1060"), body)
	clock.Advance(time.Minute)
	_, body = send(t, http.MethodPost, server.URL, "GetItem", `{"TableName":"t","Key":`+key+`}`)
	assert.Equal(t, strings.TrimSpace(body), "{}")
}

// Guards against a restored table that keeps items written after the save, and against
// writes that modify the saved state.
func TestStateIsRestored(t *testing.T) {
	server := httptest.NewServer(&thstandin.Platform{})
	defer server.Close()
	put := func(number string) {
		code, body := send(t, http.MethodPost, server.URL, "PutItem", `{"TableName":"t","Item":{"pk":{"S":"p"},"sk":{"S":"s"},"n":{"N":"`+number+`"}}}`)
		assert.Equal(t, code, http.StatusOK, body)
	}
	state := func(s string) int {
		code, _ := send(t, http.MethodPost, server.URL+thstandin.FaultPath, "", `{"state":"`+s+`"}`)
		return code
	}
	assert.Equal(t, state(thstandin.StateRestore), http.StatusBadRequest)
	put("1")
	assert.Equal(t, state(thstandin.StateSave), http.StatusOK)
	for range 2 {
		put("2")
		assert.Equal(t, state(thstandin.StateRestore), http.StatusOK)
		_, body := send(t, http.MethodPost, server.URL, "GetItem", `{"TableName":"t","Key":{"pk":{"S":"p"},"sk":{"S":"s"}}}`)
		assert.Assert(t, strings.Contains(body, `{"N":"1"}`), body)
	}
	assert.Equal(t, state("drop"), http.StatusBadRequest)
}
