// Package thfleet runs daemons, backend servers and the platform's stand-in as
// processes on loopback addresses, for the demo, benchmarks and integration tests.
package thfleet

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
)

// listeningPrefix begins the line that a stand-in prints once it serves.
const listeningPrefix = "listening address="

// Process is a child process with its output in a file. It is killed when this
// process exits.
type Process struct {
	Name    string
	LogFile string // path of the file with its standard output and error
	cmd     *exec.Cmd
	output  *os.File
	done    chan struct{}
	err     error
}

func startProcess(name, log, binary string, env []string, args ...string) (*Process, error) {
	file, err := os.OpenFile(log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600) //nolint:gosec // the caller's directory
	if err != nil {
		return nil, therror.Wrap(therror.Internal, err, "open log file of %s", name)
	}
	p := &Process{Name: name, LogFile: log, output: file, done: make(chan struct{})}
	p.cmd = exec.CommandContext(context.Background(), binary, args...) //nolint:gosec // binaries of this module
	p.cmd.Stdout, p.cmd.Stderr = file, file
	p.cmd.Env = append(os.Environ(), env...)
	// Leaves no processes behind when this process is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		_ = file.Close()
		return nil, therror.Wrap(therror.Internal, err, "start %s", name)
	}
	go func() {
		defer close(p.done)
		p.err = p.cmd.Wait()
		_ = file.Close()
	}()
	return p, nil
}

// StartDaemon starts a daemon with a settings file. Its output is appended to the
// file log.
func StartDaemon(name, log, binary, settings string) (*Process, error) {
	return startProcess(name, log, binary, nil, "daemon", "--settings", settings)
}

// PID returns the operating system's process id, also after the process has exited.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Signal sends a signal. SIGSTOP pauses the process, SIGCONT resumes it.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Stop sends SIGTERM and returns the error of the exit. After the timeout it kills
// the process and returns an error of kind Late.
func (p *Process) Stop(timeout time.Duration) error {
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		p.Kill()
		return therror.New(therror.Late, "%s did not stop within %s", p.Name, timeout)
	}
}

// waitAddress waits until a stand-in has printed its address, which it does once it
// serves.
func (p *Process) waitAddress(timeout time.Duration) (string, error) {
	deadline := time.After(timeout)
	for {
		if a := p.lastValue(listeningPrefix); a != "" {
			return a, nil
		}
		select {
		case <-p.done:
			return "", therror.New(therror.Internal, "%s exited before it printed its listening address, see %s", p.Name, p.LogFile)
		case <-deadline:
			return "", therror.New(therror.Late, "%s printed no listening address within %s, see %s", p.Name, timeout, p.LogFile)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// lastValue returns the rest of the last output line that begins with prefix, or an
// empty string.
func (p *Process) lastValue(prefix string) string {
	file, err := os.Open(p.LogFile)
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }()
	found := ""
	for s := bufio.NewScanner(file); s.Scan(); {
		if rest, ok := strings.CutPrefix(s.Text(), prefix); ok {
			found = rest
		}
	}
	return found
}
