package main

import (
	"bufio"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thstandin"
)

// Guards against a platform stand-in that does not print its address or does not stop
// on SIGTERM; integration tests depend on both.
func TestPlatformServesUntilTerminated(t *testing.T) {
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	stdout := os.Stdout
	os.Stdout = w
	defer func() { os.Stdout = stdout }()
	done := make(chan error, 1)
	go func() { done <- (&platformCommand{Listen: "127.0.0.1:0"}).Execute(nil) }()
	line, err := bufio.NewReader(r).ReadString('\n')
	assert.NilError(t, err)
	address, found := strings.CutPrefix(strings.TrimSpace(line), "listening address=")
	assert.Assert(t, found, line)
	response, err := http.Get("http://" + address + thstandin.FaultPath)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	assert.NilError(t, <-done)
}
