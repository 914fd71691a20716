package thcommand

import (
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"time"

	"github.com/turmerichaven/turmerichaven/thadmin"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thstore"
)

// Proposal is a transaction to commit. It has the same fields as thstore.Proposal,
// so that it can be converted to one.
type Proposal struct {
	Request string
	Author  string
	Above   uint64
	Repair  bool
	Edit    func(thconfig.Tables) ([]thconfig.Edit, error)
}

// Store is the part of thstore.Store that the commands use.
type Store interface {
	Load(ctx context.Context) (thconfig.Tables, []byte, error)
	Commit(ctx context.Context, p Proposal) (thconfig.Change, error)
	// Fleet returns the highest version that daemons have announced, with its digests.
	Fleet(ctx context.Context) (thstore.FleetVersion, error)
}

// pollInterval is the interval of status requests while --wait is in progress.
const pollInterval = 100 * time.Millisecond

// editor is embedded in the commands that commit edits. It has their common options.
type editor struct {
	session *session
	repair  bool          // value of Proposal.Repair
	Wait    time.Duration `long:"wait" short:"w" value-name:"DURATION" description:"Wait until every live daemon holds the new version (needs --admin)"`
	Request string        `long:"request" short:"r" value-name:"ID" description:"Request id; repeat a command with its id after an unknown outcome"`
	Author  string        `long:"author" value-name:"NAME" description:"Author of the change (default: environment variable USER)"`
}

// commitResult is the JSON output of a command that commits edits.
type commitResult struct {
	Version uint64   `json:"version"`
	Base    uint64   `json:"base"`
	Request string   `json:"request"`
	Digest  string   `json:"digest"`
	Earlier bool     `json:"earlier"` // committed by an earlier command with this request id
	Held    bool     `json:"held"`    // in effect on every live daemon; only with --wait
	Lagging []string `json:"lagging,omitempty"`
}

type editFunc func(thconfig.Tables) ([]thconfig.Edit, error)

// commit commits the edits that edit returns for the current tables and, with
// --wait, waits until they are in effect. The new version exceeds above, which is
// zero except for the recover command.
func (e *editor) commit(above uint64, edit editFunc) error {
	s := e.session
	if e.Wait < 0 || (e.Wait > 0 && !s.options.Admin.IsValid()) {
		return therror.New(therror.Bad, "--wait is a positive duration and needs --admin")
	}
	if len(e.Request) > 128 {
		return therror.New(therror.Bad, "--request: longer than 128 bytes")
	}
	if e.Request == "" {
		e.Request = rand.Text()
	}
	if e.Author == "" {
		e.Author = s.Author
	}
	store, err := s.openStore()
	if err != nil {
		return err
	}
	var fleet thstore.FleetVersion
	switch {
	case above > 0:
	case s.options.Admin.IsValid():
		fleet.Version, err = s.knownVersion()
	default:
		// This must be read before the head: daemons announce a version after its
		// commit, so that a head read later is never below an announced version.
		fleet, err = store.Fleet(s.ctx)
	}
	if err != nil {
		return err
	}
	edited := false
	change, err := store.Commit(s.ctx, Proposal{Request: e.Request, Author: e.Author, Above: above, Repair: e.repair, Edit: func(t thconfig.Tables) ([]thconfig.Edit, error) {
		edited = true
		return rejectOutdated(fleet, edit)(t)
	}})
	if err != nil {
		return e.explainUnknownOutcome(err)
	}
	r := commitResult{Version: change.Version, Base: change.Base, Request: e.Request, Digest: fmt.Sprintf("%x", change.Digest), Earlier: !edited}
	return e.reportCommit(r, change)
}

// rejectOutdated wraps edit to return an error if the store's tables are older
// than the fleet's version or have other content, because no daemon would accept
// the result.
func rejectOutdated(fleet thstore.FleetVersion, edit editFunc) editFunc {
	return func(t thconfig.Tables) ([]thconfig.Edit, error) {
		if t.Version < fleet.Version {
			return nil, therror.New(therror.Older,
				"the store holds version %d, the fleet %d: the table was restored from a backup; check the tables, then run `turmerichaven recover`",
				t.Version, fleet.Version)
		}
		if t.Version == fleet.Version && len(fleet.Digests) > 0 && !slices.Contains(fleet.Digests, thmember.ShortDigest(thconfig.Digest(t))) {
			return nil, therror.New(therror.Diverged,
				"the fleet holds version %d with other content than the store: the table was restored from a backup and edited, or changed by other means; "+
					"check the tables, then run `turmerichaven recover`", t.Version)
		}
		return edit(t)
	}
}

// explainUnknownOutcome adds instructions for a safe retry to an error after which
// the change may have been committed. It returns other errors unchanged.
func (e *editor) explainUnknownOutcome(err error) error {
	kind := therror.KindOf(err)
	if therror.ResponseTo(kind).NotRun {
		return err
	}
	if kind != therror.Internal {
		kind = therror.Unknown
	}
	return therror.Wrap(kind, err,
		"the change may have been committed; repeat the same command with --request %s: it is committed at most once", e.Request)
}

func (s *session) adminClient() *thadmin.Client {
	return &thadmin.Client{Address: s.options.Admin.AddrPort}
}

// fetchStatus requests the status of the daemon at --admin.
func (s *session) fetchStatus() (thadmin.Status, error) {
	if !s.options.Admin.IsValid() {
		return thadmin.Status{}, therror.New(therror.Bad, "needs --admin ADDRESS of any daemon")
	}
	return s.adminClient().Status(s.ctx)
}

// knownVersion returns the fleet's highest version. A version alarm is an error,
// because the fleet would not accept an edit of the store's tables.
func (s *session) knownVersion() (uint64, error) {
	status, err := s.fetchStatus()
	if err != nil {
		return 0, err
	}
	if err := alarmError(&status); err != nil {
		return 0, err
	}
	return highestVersion(&status), nil
}

// alarmError returns an error if the daemon has a version alarm.
func alarmError(status *thadmin.Status) error {
	if status.Config.Alarm == "" {
		return nil
	}
	kind := therror.Older
	if status.Config.Alarm == string(therror.Diverged) {
		kind = therror.Diverged
	}
	return therror.New(kind, "version alarm on %s: the table was restored from a backup or changed by other means; "+
		"check the tables, then run `turmerichaven recover`", status.Self.Name)
}

// highestVersion returns the highest version that the daemon or any live daemon
// of the fleet holds or has heard of.
func highestVersion(status *thadmin.Status) uint64 {
	version := max(status.Config.Version, status.Config.Known)
	for _, m := range status.Members {
		if m.Live() {
			version = max(version, m.Version)
		}
	}
	return version
}

// reportCommit sends a committed change to the daemon at --admin, waits for the
// fleet with --wait, and prints the result. Because the change is committed, a
// failure here is exit code 9 or a warning, never an unknown outcome.
func (e *editor) reportCommit(r commitResult, change thconfig.Change) error {
	s := e.session
	if s.options.Admin.IsValid() {
		if err := s.adminClient().SendChange(s.ctx, change); err != nil {
			s.printf(s.Err, "turmerichaven: version %d is committed; %s was not told: %v\n", r.Version, s.options.Admin, err)
		}
	}
	var err error
	if e.Wait > 0 {
		err = e.waitForFleet(&r)
	}
	if printErr := s.printResult(r, func() {
		s.printf(s.Out, "%s version %d (request %s)\n", choose(r.Earlier, "an earlier command committed", "committed"), r.Version, r.Request)
		if r.Held {
			s.printf(s.Out, "in effect on every live daemon\n")
		}
	}); printErr != nil {
		return printErr
	}
	return err
}

// waitForFleet polls the status until every live daemon holds the version. It
// retries failed status requests, and returns a LaggingError when --wait expires
// or the context ends.
func (e *editor) waitForFleet(r *commitResult) error {
	s := e.session
	deadline := s.clock.Now().Add(e.Wait)
	showProgress := isTerminal(s.Err)
	lagging := []string{"unknown: no status from " + s.options.Admin.String()}
	for {
		status, err := s.fetchStatus()
		if err == nil {
			lagging = status.DaemonsBelow(r.Version)
			if len(status.Members) == 0 && status.Config.Version < r.Version {
				lagging = []string{status.Self.Name}
			}
			if len(lagging) == 0 {
				r.Held = true
				if showProgress {
					s.printf(s.Err, "\r\x1b[K")
				}
				return nil
			}
		}
		if showProgress {
			s.printf(s.Err, "\r\x1b[Kversion %d: %d daemons lag", r.Version, len(lagging))
		}
		remaining := deadline.Sub(s.clock.Now())
		if remaining > 0 {
			select {
			case <-s.ctx.Done():
				remaining = 0
			case <-s.clock.After(min(remaining, pollInterval)):
			}
		}
		if remaining <= 0 {
			if showProgress {
				s.printf(s.Err, "\n")
			}
			r.Lagging = lagging
			return &LaggingError{Version: r.Version, Daemons: lagging}
		}
	}
}
