package ths3_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/ths3"
	"github.com/turmerichaven/turmerichaven/thstandin"
)

func open(url string) *ths3.Objects {
	return ths3.New(ths3.Settings{Endpoint: url, Bucket: "b", Region: "x", AccessKey: "a", Secret: "s"})
}

// Guards against objects that are read back changed, and errors of the wrong kind.
func TestObjects(t *testing.T) {
	platform := &thstandin.Platform{}
	server := httptest.NewServer(platform)
	defer server.Close()
	o := open(server.URL)
	set := func(f thstandin.Fault) {
		t.Helper()
		assert.NilError(t, platform.SetFaults(thstandin.Faults{Object: &f}))
	}
	check := func(err error, k therror.Kind) {
		t.Helper()
		assert.Equal(t, therror.KindOf(err), k, "%v", err)
	}
	body := make([]byte, 1<<20)
	body[7] = 7
	_, err := o.Get(t.Context(), "snapshot/16")
	check(err, therror.Absent)
	assert.NilError(t, o.Put(t.Context(), "snapshot/16", body))
	got, err := o.Get(t.Context(), "snapshot/16")
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, body))

	set(thstandin.Fault{Lost: true})
	check(o.Put(t.Context(), "snapshot/32", body), therror.Unknown)
	set(thstandin.Fault{Fail: true})
	check(o.Put(t.Context(), "snapshot/48", body), therror.Unknown)
	_, err = o.Get(t.Context(), "snapshot/32")
	check(err, therror.Down)
	set(thstandin.Fault{Rate: 1e-9})
	_, _ = o.Get(t.Context(), "snapshot/32")
	check(o.Put(t.Context(), "snapshot/48", body), therror.Limited)
	set(thstandin.Fault{})
	_, err = o.Get(t.Context(), "snapshot/32")
	assert.NilError(t, err)
	_, err = o.Get(t.Context(), "snapshot/48")
	check(err, therror.Absent)
	check(o.Put(t.Context(), "x", make([]byte, ths3.MaxObjectSize+1)), therror.Refused)
}

// Guards against a refused connection that is reported as an unknown outcome of a
// write.
func TestRefusedConnectionIsDown(t *testing.T) {
	server := httptest.NewServer(nil)
	server.Close()
	err := open(server.URL).Put(t.Context(), "x", []byte("x"))
	assert.Assert(t, therror.Is(err, therror.Down), "%v", err)
}

// Guards against reading an object of unlimited size into memory.
func TestLargeObjectIsRefused(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range ths3.MaxObjectSize >> 12 {
			_, _ = w.Write(make([]byte, 8<<10))
		}
	}))
	defer server.Close()
	_, err := open(server.URL).Get(t.Context(), "x")
	assert.Assert(t, therror.Is(err, therror.Refused), "%v", err)
}
