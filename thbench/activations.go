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

// logTimeLayout is the timestamp layout of the daemons' logs, with millisecond resolution.
const logTimeLayout = "2006-01-02T15:04:05.000Z0700"

// awaitInterval is the interval for polling the daemons' logs or status. Activation
// times come from the timestamps in the logs, so their precision doesn't depend on it.
const awaitInterval = 20 * time.Millisecond

// activation is the time at which a daemon put a version into effect.
type activation struct {
	version uint64
	time    time.Time
}

// activations reads the activation times from the daemons' logs. Unlike polling
// /status, this adds no load to the daemons. The zero value is ready to use.
type activations struct {
	logs map[string]*logTail
}

// logTail is the part of a daemon's log that has been read.
type logTail struct {
	offset      int64
	activations []activation
}

// read adds the activations in the complete lines appended since the last read.
func (t *logTail) read(name string) error {
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
			return nil // the next read starts again at an incomplete line
		}
		t.offset += int64(len(line))
		if e, found := parseActivation(line); found {
			t.activations = append(t.activations, e)
		}
	}
}

// parseActivation parses a log line and reports whether it is the line that a daemon logs
// when it puts a version into effect.
func parseActivation(line string) (activation, bool) {
	if !strings.Contains(line, "configuration in effect") {
		return activation{}, false
	}
	fields := strings.Fields(line)
	at, err := time.Parse(logTimeLayout, fields[0])
	if err != nil {
		return activation{}, false
	}
	for _, f := range fields {
		if v, found := strings.CutPrefix(f, "version="); found {
			n, err := strconv.ParseUint(v, 10, 64)
			return activation{n, at}, err == nil
		}
	}
	return activation{}, false
}

// at returns when the version took effect. If the daemon skipped the version, it
// returns the time of the next higher one. The result is false if there is neither.
func (t *logTail) at(version uint64) (time.Time, bool) {
	i := slices.IndexFunc(t.activations, func(e activation) bool { return e.version >= version })
	if i < 0 {
		return time.Time{}, false
	}
	return t.activations[i].time, true
}

// await waits until the version is in effect on all upstreams and returns the
// activation times. After limit it returns the times so far and the names of the
// upstreams without the version; that is no error.
func (e *activations) await(ctx context.Context, all []*thfleet.Upstream, version uint64, limit time.Duration) (times []time.Time, lacking []string, err error) {
	if e.logs == nil {
		e.logs = map[string]*logTail{}
	}
	end := clock.Now().Add(limit)
	for {
		times, lacking = times[:0], nil
		for _, u := range all {
			t := e.logs[u.Name]
			if t == nil {
				t = &logTail{}
				e.logs[u.Name] = t
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
		case <-clock.After(awaitInterval):
		}
	}
}

// latest returns the latest of the times, or the zero time if there are none.
func latest(times []time.Time) time.Time {
	var last time.Time
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}
