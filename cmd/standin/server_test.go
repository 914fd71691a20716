package main

import (
	"bufio"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a server stand-in that does not print its address, aborts a request
// on SIGTERM, or does not stop; and against a load command that loses records.
func TestServerAndLoad(t *testing.T) {
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	old := os.Stdout
	os.Stdout = w
	defer func() { os.Stdout = old }()
	served := make(chan error, 1)
	go func() { served <- (&serverCommand{Slots: 20, Work: 200 * time.Millisecond}).Execute(nil) }()
	line, err := bufio.NewReader(r).ReadString('\n')
	assert.NilError(t, err)
	address, found := strings.CutPrefix(strings.TrimSpace(line), "listening address=")
	assert.Assert(t, found, line)

	file := filepath.Join(t.TempDir(), "calls")
	load := &loadCommand{Listen: "127.0.0.1:0", Target: []string{address}, Path: "/", Rate: 100, Time: 50 * time.Millisecond, Output: file}
	assert.NilError(t, load.Execute(nil))
	lines, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(lines), `"whole":true`), 5)

	answered := make(chan int, 1)
	go func() {
		response, err := http.Get("http://" + address + "/")
		if err != nil {
			answered <- 0
			return
		}
		response.Body.Close()
		answered <- response.StatusCode
	}()
	for !busy(t, address) {
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	assert.NilError(t, <-served)
	assert.Equal(t, <-answered, http.StatusOK)
}

// busy reports whether the server has a request in progress.
func busy(t *testing.T, address string) bool {
	t.Helper()
	response, err := http.Get("http://" + address + "/load")
	assert.NilError(t, err)
	defer response.Body.Close()
	body := make([]byte, 64)
	n, _ := response.Body.Read(body)
	return !strings.Contains(string(body[:n]), `:0`)
}
