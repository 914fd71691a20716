// Command stage2 shows the cases of the second independent review that need real processes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit ends a case that hangs.
const limit = 110 * time.Second

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(*fleet, bool) (int, error){
	"left":      caseLeft,
	"unread":    caseUnread,
	"withdrawn": caseWithdrawn,
	"replaced":  caseReplaced,
	"moved":     caseMoved,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage2 CASE RECORD, from the root of the repository; TROUBLE=0 leaves out the disruption")
		return failed
	}
	stopped, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(stopped, limit)
	defer cancel()
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	f, err := newFleet(ctx, r)
	if err != nil {
		r.say("could not run: %v", err)
		return failed
	}
	defer f.stop()
	code, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	if os.Getenv("STAGE_LOGS") != "" {
		for _, m := range f.machines {
			r.printf("log of %s:\n%s", m.name, m.log())
		}
	}
	if err != nil {
		r.say("could not run: %v", err)
		return failed
	}
	return code
}
