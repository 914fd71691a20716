package thbench

import (
	"bufio"
	"context"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thfleet"
)

// logTime is the time format of the daemons' log, in ms.
const logTime = "2006-01-02T15:04:05.000Z0700"

// effectEvery is the time between two reads of the daemons' logs. The times
// themselves come from the log lines and do not depend on it.
const effectEvery = 20 * time.Millisecond

// effect is the moment at which a daemon put a version into effect.
type effect struct {
	version uint64
	time    time.Time
}

// effects reads from the daemons' logs when each put a version into effect.
// Unlike polling /status this costs the daemons nothing.
type effects struct {
	tails map[string]*tail
}

type tail struct {
	offset int64
	seen   []effect
}

// read appends the new complete lines of a log.
func (t *tail) read(name string) error {
	file, err := os.Open(name) //nolint:gosec // log of a process that the fleet has started
	if err != nil {
		return therror.Wrap(therror.Internal, err, "log of a daemon")
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Seek(t.offset, io.SeekStart); err != nil {
		return therror.Wrap(therror.Internal, err, "log of a daemon")
	}
	in := bufio.NewReader(file)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return nil // the rest of an incomplete line is read next time
		}
		t.offset += int64(len(line))
		if e, found := parseEffect(line); found {
			t.seen = append(t.seen, e)
		}
	}
}

// parseEffect reads the log line of a daemon that puts a version into effect.
func parseEffect(line string) (effect, bool) {
	if !strings.Contains(line, "configuration in effect") {
		return effect{}, false
	}
	fields := strings.Fields(line)
	at, err := time.Parse(logTime, fields[0])
	if err != nil {
		return effect{}, false
	}
	for _, f := range fields {
		if v, found := strings.CutPrefix(f, "version="); found {
			n, err := strconv.ParseUint(v, 10, 64)
			return effect{n, at}, err == nil
		}
	}
	return effect{}, false
}

// at returns when the version, or a later one that came in its place, took effect.
func (t *tail) at(version uint64) (time.Time, bool) {
	i := slices.IndexFunc(t.seen, func(e effect) bool { return e.version >= version })
	if i < 0 {
		return time.Time{}, false
	}
	return t.seen[i].time, true
}

// await waits until the version is in effect on all upstreams and returns the
// times. After the limit it returns those that there are, with the names of the
// daemons that lack it.
func (e *effects) await(ctx context.Context, all []*thfleet.Upstream, version uint64, limit time.Duration) (times []time.Time, lacking []string, err error) {
	if e.tails == nil {
		e.tails = map[string]*tail{}
	}
	end := clock.Now().Add(limit)
	for {
		times, lacking = times[:0], nil
		for _, u := range all {
			t := e.tails[u.Name]
			if t == nil {
				t = &tail{}
				e.tails[u.Name] = t
			}
			at, found := t.at(version)
			if !found {
				if err := t.read(u.Daemon.LogFile); err != nil {
					return nil, nil, err
				}
				at, found = t.at(version)
			}
			if found {
				times = append(times, at)
			} else {
				lacking = append(lacking, u.Name)
			}
		}
		if len(lacking) == 0 || clock.Now().After(end) {
			return times, lacking, nil
		}
		select {
		case <-ctx.Done():
			return times, lacking, ctx.Err()
		case <-clock.After(effectEvery):
		}
	}
}

// latest returns the last of the times.
func latest(times []time.Time) time.Time {
	var last time.Time
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}
