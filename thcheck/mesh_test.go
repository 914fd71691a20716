package thcheck

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thbackend"
	"github.com/turmerichaven/turmerichaven/thload"
)

// forward sends the request to the backend server with a request id and returns the
// response body.
func forward(backend string, r *http.Request, id string) []byte {
	q, _ := http.NewRequest(r.Method, "http://"+backend+r.URL.String(), nil)
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("Idempotency-Key", r.Header.Get("Idempotency-Key"))
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return body
}

// Guards against a violation that generator, backend server and checker together miss
// in a faulty mesh, and against violations reported for a correct mesh.
func TestFaultyMeshIsFound(t *testing.T) {
	cases := map[Kind]func(w http.ResponseWriter, r *http.Request, backend, id string){
		"": func(w http.ResponseWriter, r *http.Request, backend, id string) {
			w.Write(forward(backend, r, id))
		},
		RunTwice: func(w http.ResponseWriter, r *http.Request, backend, id string) {
			forward(backend, r, id)
			w.Write(forward(backend, r, id))
		},
		FalseNotRun: func(w http.ResponseWriter, r *http.Request, backend, id string) {
			forward(backend, r, id)
			w.Header().Set("Th-Outcome", thload.OutcomeNotRun)
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		ForeignContent: func(w http.ResponseWriter, r *http.Request, backend, id string) {
			forward(backend, r, id)
			w.Write(thbackend.ResponsePart("other", 0))
		},
		TruncatedAsComplete: func(w http.ResponseWriter, r *http.Request, backend, id string) {
			b := forward(backend, r, id)
			w.Write(b[:len(b)-5])
		},
		NoRecord: func(w http.ResponseWriter, _ *http.Request, _, id string) {
			for i := range 3 {
				w.Write(thbackend.ResponsePart(id, i))
			}
		},
	}
	for kind, mesh := range cases {
		t.Run(string(kind), func(t *testing.T) {
			b := &thbackend.Backend{}
			assert.NilError(t, b.Start(context.Background()))
			defer b.Stop()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mesh(w, r, b.Address().String(), r.Header.Get("X-Request-Id"))
			}))
			defer server.Close()
			var mutex sync.Mutex
			var calls []thload.Call
			g := &thload.Generator{
				Targets: []string{server.Listener.Addr().String()}, Path: "/stream?parts=3", Parts: 3,
				Rate: 100, Duration: 100 * time.Millisecond, NonIdempotent: true, IdempotencyKeys: true,
				Record: func(c thload.Call) {
					mutex.Lock()
					defer mutex.Unlock()
					calls = append(calls, c)
				},
			}
			assert.NilError(t, g.Run(context.Background()))
			got := Check(calls, b.Records())
			if kind == "" {
				assert.Equal(t, len(got), 0, "%v", got)
				return
			}
			assert.Equal(t, len(got), 10)
			for _, v := range got {
				assert.Equal(t, v.Kind, kind)
			}
		})
	}
}
