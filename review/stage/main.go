// Command stage runs a small deployment for the cases in review/: daemons of the deploy file
// as processes, with stand-ins of the store, the backend servers and the clients. It exits
// with 1 if the rule of the case was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitError  = 2
)

// scenario plays a case on a running deployment. It returns whether the rule was broken.
type scenario func(d *deployment, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"odd-heartbeat": oddHeartbeat,
	"next-order":    nextOrder,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage SCENARIO RECORD-FILE")
		os.Exit(exitError)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

// awaitEndOf returns when the process with the id has ended, as a script does that was killed.
func awaitEndOf(id string) {
	pid, err := strconv.Atoi(id)
	for err != nil || syscall.Kill(pid, 0) == nil {
		time.Sleep(200 * time.Millisecond)
	}
}

// play runs a scenario and ends all processes that it has started.
func play(s scenario, file string) int {
	d, err := newDeployment(filepath.Clean(file))
	if err != nil {
		fmt.Fprintln(os.Stderr, "stage:", err)
		return exitError
	}
	defer d.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		d.close()
		os.Exit(exitError)
	}()
	go func() {
		awaitEndOf(os.Getenv("SCRIPT_PID"))
		d.close()
		os.Exit(exitError)
	}()
	if err := d.awaitReady(20 * time.Second); err != nil {
		fmt.Fprintln(os.Stderr, "stage:", err)
		return exitError
	}
	broken, err := s(d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "stage:", err)
		return exitError
	case broken:
		return exitBroken
	}
	return exitHeld
}
