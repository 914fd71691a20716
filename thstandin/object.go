package thstandin

import (
	"encoding/xml"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmemory"
)

// objectAPI serves GetObject and PutObject of the S3 API with path-style URLs.
type objectAPI struct {
	faults thmemory.FaultInjector
	mutex  sync.Mutex
	bodies map[string][]byte // by URL path "/bucket/name"
}

// objectError is the XML body of an error response of S3.
type objectError struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

func writeObjectError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_ = xml.NewEncoder(w).Encode(objectError{Code: code, Message: message})
}

func (o *objectAPI) serve(w http.ResponseWriter, r *http.Request) {
	bucket, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	query := r.URL.Query()
	query.Del("x-id") // the operation's name, which follows from the method
	get, put := r.Method == http.MethodGet, r.Method == http.MethodPut
	if bucket == "" || name == "" || len(query) > 0 || (!get && !put) || r.Header.Get("X-Amz-Copy-Source") != "" {
		writeObjectError(w, http.StatusNotImplemented, "NotImplemented", "only GetObject and PutObject are implemented")
		return
	}
	// Read the body before any injected delay: net/http detects that the client has
	// closed the connection only after the body has been read.
	body, err := io.ReadAll(r.Body)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		writeObjectError(w, http.StatusBadRequest, "EntityTooLarge", err.Error())
		return
	case err != nil:
		writeObjectError(w, http.StatusBadRequest, "IncompleteBody", err.Error())
		return
	}
	lost, err := o.faults.BeforeRequest(r.Context(), put)
	switch therror.KindOf(err) {
	case "":
	case therror.Limited:
		writeObjectError(w, http.StatusServiceUnavailable, "SlowDown", "please reduce your request rate")
		return
	default:
		writeObjectError(w, http.StatusInternalServerError, "InternalError", err.Error())
		return
	}
	if put {
		o.put(r.URL.Path, body)
		if lost {
			breakConnection()
		}
		w.WriteHeader(http.StatusOK)
		return
	}
	o.mutex.Lock()
	body, found := o.bodies[r.URL.Path]
	o.mutex.Unlock()
	if !found {
		writeObjectError(w, http.StatusNotFound, "NoSuchKey", "the specified key does not exist")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}

func (o *objectAPI) put(path string, body []byte) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.bodies == nil {
		o.bodies = map[string][]byte{}
	}
	o.bodies[path] = body
}
