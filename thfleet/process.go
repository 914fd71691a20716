// Package thfleet runs daemons, backend servers and the platform's stand-in as
// processes on loopback, for the demo, the measurements and integration tests.
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

// listeningPrefix is what a stand-in prints once it serves.
const listeningPrefix = "listening address="

// Process is a process that this package has started.
type Process struct {
	Name    string
	LogFile string // file with its output
	cmd     *exec.Cmd
	output  *os.File
	done    chan struct{}
	err     error
}

func startProcess(name, log, binary string, env []string, args ...string) (*Process, error) {
	file, err := os.OpenFile(log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600) //nolint:gosec // the caller's directory
	if err != nil {
		return nil, therror.Wrap(therror.Internal, err, "log of %s", name)
	}
	p := &Process{Name: name, LogFile: log, output: file, done: make(chan struct{})}
	p.cmd = exec.CommandContext(context.Background(), binary, args...) //nolint:gosec // binaries of this module
	p.cmd.Stdout, p.cmd.Stderr = file, file
	p.cmd.Env = append(os.Environ(), env...)
	// A harness that dies must leave no processes behind.
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

// StartDaemon starts a daemon with a settings file; log is the file for its output.
func StartDaemon(name, log, binary, settings string) (*Process, error) {
	return startProcess(name, log, binary, nil, "daemon", "--settings", settings)
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Signal sends a signal; SIGSTOP and SIGCONT freeze and wake the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Stop asks the process to stop and returns the error of its exit, or one of
// kind Late after the limit, when it is killed.
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

// waitAddress waits for the line that a stand-in prints once it serves.
func (p *Process) waitAddress(timeout time.Duration) (string, error) {
	deadline := time.After(timeout)
	for {
		if a := p.lastValue(listeningPrefix); a != "" {
			return a, nil
		}
		select {
		case <-p.done:
			return "", therror.New(therror.Internal, "%s ended before it served, see %s", p.Name, p.LogFile)
		case <-deadline:
			return "", therror.New(therror.Late, "%s does not serve after %s, see %s", p.Name, timeout, p.LogFile)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// lastValue returns what follows prefix in the last such line of the output.
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
