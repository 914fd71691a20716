package thbench

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thfleet"
	"github.com/turmerichaven/turmerichaven/thstandin"
)

// clockTick is the unit of processor time in /proc. USER_HZ is 100 on all Linux
// platforms that Go supports.
const clockTick = 10 * time.Millisecond

// usage is the resource usage of a process since its start.
type usage struct {
	processor time.Duration
	memory    int64 // resident, in bytes
	sockets   int
}

// usageOf reads the usage of a process from /proc.
func usageOf(id int) (usage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(id))
	var u usage
	text, err := os.ReadFile(filepath.Join(dir, "stat")) //nolint:gosec // of a process that the fleet has started
	if err != nil {
		return u, therror.Wrap(therror.Internal, err, "process %d", id)
	}
	if u.processor, err = parseStat(string(text)); err != nil {
		return u, err
	}
	if text, err = os.ReadFile(filepath.Join(dir, "status")); err != nil { //nolint:gosec // see above
		return u, therror.Wrap(therror.Internal, err, "process %d", id)
	}
	u.memory = parseResident(string(text))
	files, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		return u, therror.Wrap(therror.Internal, err, "process %d", id)
	}
	for _, f := range files {
		// The descriptor may have been closed since ReadDir.
		if name, err := os.Readlink(filepath.Join(dir, "fd", f.Name())); err == nil && strings.HasPrefix(name, "socket:") {
			u.sockets++
		}
	}
	return u, nil
}

// parseStat returns the sum of user and system time in a line of /proc/PID/stat.
// The process name, in parentheses, may contain spaces and parentheses.
func parseStat(text string) (time.Duration, error) {
	fields := strings.Fields(text[strings.LastIndex(text, ")")+1:])
	const user, system = 11, 12 // fields 14 and 15 of the line; the fields are indexed from after the name
	if len(fields) <= system {
		return 0, therror.New(therror.Internal, "malformed /proc stat: %q", text)
	}
	var sum int64
	for _, f := range []int{user, system} {
		n, err := strconv.ParseInt(fields[f], 10, 64)
		if err != nil {
			return 0, therror.Wrap(therror.Internal, err, "malformed /proc stat")
		}
		sum += n
	}
	return time.Duration(sum) * clockTick, nil
}

// parseResident returns VmRSS of /proc/PID/status in bytes, or 0 if there is none.
func parseResident(text string) int64 {
	for line := range strings.Lines(text) {
		var kilobytes int64
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); n == 1 {
			return kilobytes << 10
		}
	}
	return 0
}

// controlBytes are the bytes that a daemon has received and sent on control connections.
type controlBytes struct{ in, out float64 }

func (c controlBytes) sum() float64 { return c.in + c.out }

func (c controlBytes) sub(o controlBytes) controlBytes {
	return controlBytes{c.in - o.in, c.out - o.out}
}

// readControl reads controlBytes from the metrics of a daemon, which updates them once a second.
func readControl(ctx context.Context, u *thfleet.Upstream) (controlBytes, error) {
	var c controlBytes
	body, err := get(ctx, "http://"+u.Admin()+"/metrics")
	if err != nil {
		return c, err
	}
	defer func() { _ = body.Close() }()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(body)
	if err != nil {
		return c, therror.Wrap(therror.Broken, err, "metrics of %s", u.Name)
	}
	for _, m := range families["turmerichaven_control_bytes_total"].GetMetric() {
		for _, l := range m.GetLabel() {
			switch l.GetValue() {
			case "in":
				c.in = m.GetCounter().GetValue()
			case "out":
				c.out = m.GetCounter().GetValue()
			}
		}
	}
	return c, nil
}

// platformCounts are the requests to both platform services since their start.
type platformCounts struct{ reads, writes float64 }

func (s *system) platformCounts(ctx context.Context) (platformCounts, error) {
	var p thstandin.PlatformStatus
	body, err := get(ctx, "http://"+s.PlatformAddress()+thstandin.FaultPath)
	if err != nil {
		return platformCounts{}, err
	}
	defer func() { _ = body.Close() }()
	if err := json.NewDecoder(body).Decode(&p); err != nil {
		return platformCounts{}, therror.Wrap(therror.Broken, err, "status of the platform")
	}
	return platformCounts{float64(p.Table.Reads + p.Object.Reads), float64(p.Table.Writes + p.Object.Writes)}, nil
}

// samplePeakReads samples the platform's reads once a second until the returned
// function is called. That function returns the highest rate in reads per second.
func (s *system) samplePeakReads(ctx context.Context) func() float64 {
	ctx, cancel := context.WithCancel(ctx)
	result := make(chan float64, 1)
	go func() {
		var peak float64
		var before platformCounts
		ticker := clock.NewTicker(time.Second)
		defer ticker.Stop()
		for last := clock.Now(); ; {
			now, err := s.platformCounts(ctx)
			if err == nil {
				at := clock.Now()
				if elapsed := at.Sub(last).Seconds(); before.reads > 0 && elapsed > 0 {
					peak = max(peak, (now.reads-before.reads)/elapsed)
				}
				before, last = now, at
			}
			select {
			case <-ctx.Done():
				result <- peak
				return
			case <-ticker.Chan():
			}
		}
	}()
	return func() float64 {
		cancel()
		return <-result
	}
}

// setPlatformFault sets the fault of both platform services; the zero Fault clears it.
func (s *system) setPlatformFault(ctx context.Context, f thstandin.Fault) error {
	return thfleet.SetFault(ctx, s.PlatformAddress(), thstandin.Faults{Table: &f, Object: &f})
}

// counters is one reading of the counters of a fleet; the maps are keyed by upstream name.
type counters struct {
	time     time.Time
	platform platformCounts
	control  map[string]controlBytes
	usage    map[string]usage
}

// readCounters reads the counters of the upstreams' daemons.
func (s *system) readCounters(ctx context.Context, all []*thfleet.Upstream) (counters, error) {
	r := counters{control: map[string]controlBytes{}, usage: map[string]usage{}}
	var err error
	if r.platform, err = s.platformCounts(ctx); err != nil {
		return r, err
	}
	// Scraping the metrics uses processor time of the daemon. Usage is read first, so
	// that the scrape at the end of a period isn't part of the period.
	for _, u := range all {
		if r.usage[u.Name], err = usageOf(u.Daemon.PID()); err != nil {
			return r, err
		}
	}
	r.time = clock.Now()
	for _, u := range all {
		if r.control[u.Name], err = readControl(ctx, u); err != nil {
			return r, err
		}
	}
	return r, nil
}

// periodStats holds rates and usage between two readings of the counters. Except for
// the platform's rates and the maxima they are means per daemon.
type periodStats struct {
	seconds               float64
	reads, writes         float64 // platform requests per second
	controlIn, controlOut float64 // control bytes per second
	maxControl            float64 // control bytes in and out per second of the daemon with the most
	processor             float64 // fraction of a core
	maxProcessor          float64
	memory                float64 // resident bytes
	maxMemory             float64
	sockets               float64
}

// between returns the statistics of the period from a to b, for the daemons in b.
func between(a, b counters) periodStats {
	s := periodStats{seconds: b.time.Sub(a.time).Seconds()}
	s.reads, s.writes = (b.platform.reads-a.platform.reads)/s.seconds, (b.platform.writes-a.platform.writes)/s.seconds
	n := float64(len(b.control))
	for name, c := range b.control {
		d := c.sub(a.control[name])
		s.controlIn, s.controlOut = s.controlIn+d.in/n/s.seconds, s.controlOut+d.out/n/s.seconds
		s.maxControl = max(s.maxControl, d.sum()/s.seconds)
		u := b.usage[name]
		share := (u.processor - a.usage[name].processor).Seconds() / s.seconds
		s.processor, s.maxProcessor = s.processor+share/n, max(s.maxProcessor, share)
		s.memory, s.maxMemory = s.memory+float64(u.memory)/n, max(s.maxMemory, float64(u.memory))
		s.sockets += float64(u.sockets) / n
	}
	return s
}

// listenerSockets is the number of listening sockets of a daemon. It is subtracted from
// the sockets to get the number of connections.
const listenerSockets = 4
