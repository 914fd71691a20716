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

// Proposal is an edit to commit. Its fields are those of thstore.Proposal, so
// that one converts to the other.
type Proposal struct {
	Request string
	Author  string
	Above   uint64
	Repair  bool
	Edit    func(thconfig.Tables) ([]thconfig.Edit, error)
}

// Store is what the commands need of the store.
type Store interface {
	Load(ctx context.Context) (thconfig.Tables, []byte, error)
	Commit(ctx context.Context, p Proposal) (thconfig.Change, error)
	// Fleet returns the highest version that daemons have announced.
	Fleet(ctx context.Context) (thstore.Fleet, error)
}

// pollInterval is the time between two reads of /status while waiting.
const pollInterval = 100 * time.Millisecond

// editor is the common part of the commands that edit.
type editor struct {
	session *session
	repair  bool          // see thstore.Proposal
	Wait    time.Duration `long:"wait" short:"w" value-name:"DURATION" description:"Wait until every live daemon holds the new version (needs --admin)"`
	Request string        `long:"request" short:"r" value-name:"ID" description:"Request id; repeat a command with its id after an unknown outcome"`
	Author  string        `long:"author" value-name:"NAME" description:"Author of the change (default: environment variable USER)"`
}

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

// commit commits an edit and waits where asked to. above is zero but for recover.
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
	var known thstore.Fleet
	switch {
	case above > 0:
	case s.options.Admin.IsValid():
		known.Version, err = s.knownVersion()
	default:
		// Read before the head: a daemon announces a version after its commit, so
		// a head that is read later is never below an announced version.
		known, err = store.Fleet(s.ctx)
	}
	if err != nil {
		return err
	}
	edited := false
	change, err := store.Commit(s.ctx, Proposal{Request: e.Request, Author: e.Author, Above: above, Repair: e.repair, Edit: func(t thconfig.Tables) ([]thconfig.Edit, error) {
		edited = true
		return rejectOutdated(known, edit)(t)
	}})
	if err != nil {
		return e.explainUnknownOutcome(err)
	}
	r := commitResult{Version: change.Version, Base: change.Base, Request: e.Request, Digest: fmt.Sprintf("%x", change.Digest), Earlier: !edited}
	return e.reportCommit(r, change)
}

// rejectOutdated refuses to edit tables that are older than the version that the fleet
// knows, or differ from it, because no daemon would accept the result.
func rejectOutdated(known thstore.Fleet, edit editFunc) editFunc {
	return func(t thconfig.Tables) ([]thconfig.Edit, error) {
		if t.Version < known.Version {
			return nil, therror.New(therror.Older,
				"the store holds version %d, the fleet %d: the table was restored from a backup; check the tables, then run `turmerichaven recover`",
				t.Version, known.Version)
		}
		if t.Version == known.Version && len(known.Digests) > 0 && !slices.Contains(known.Digests, thmember.ShortDigest(thconfig.Digest(t))) {
			return nil, therror.New(therror.Diverged,
				"the fleet holds version %d with other content than the store: the table was restored from a backup and edited, or changed by other means; "+
					"check the tables, then run `turmerichaven recover`", t.Version)
		}
		return edit(t)
	}
}

// explainUnknownOutcome adds what to do next to an error that leaves the outcome open.
func (e *editor) explainUnknownOutcome(err error) error {
	kind := therror.KindOf(err)
	if therror.AnswerTo(kind).NotRun {
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

func (s *session) fetchStatus() (thadmin.Status, error) {
	if !s.options.Admin.IsValid() {
		return thadmin.Status{}, therror.New(therror.Bad, "needs --admin ADDRESS of any daemon")
	}
	return s.adminClient().Status(s.ctx)
}

// knownVersion returns the highest version that the fleet holds. A version
// alarm is an error: the fleet would not accept an edit of the store's tables.
func (s *session) knownVersion() (uint64, error) {
	v, err := s.fetchStatus()
	if err != nil {
		return 0, err
	}
	if err := alarmError(&v); err != nil {
		return 0, err
	}
	return highestVersion(&v), nil
}

// alarmError returns the version alarm of a daemon as an error.
func alarmError(v *thadmin.Status) error {
	if v.Config.Alarm == "" {
		return nil
	}
	kind := therror.Older
	if v.Config.Alarm == string(therror.Diverged) {
		kind = therror.Diverged
	}
	return therror.New(kind, "version alarm on %s: the table was restored from a backup or changed by other means; "+
		"check the tables, then run `turmerichaven recover`", v.Self.Name)
}

func highestVersion(s *thadmin.Status) uint64 {
	v := max(s.Config.Version, s.Config.Known)
	for _, m := range s.Members {
		if m.Live() {
			v = max(v, m.Version)
		}
	}
	return v
}

// reportCommit hands the change to the daemon, waits and reports. The change is committed: a
// failure from here on is exit code 9 or a warning, never an unknown outcome.
func (e *editor) reportCommit(r commitResult, change thconfig.Change) error {
	s := e.session
	if s.options.Admin.IsValid() {
		if err := s.adminClient().Offer(s.ctx, change); err != nil {
			s.printf(s.Err, "turmerichaven: version %d is committed; %s was not told: %v\n", r.Version, s.options.Admin, err)
		}
	}
	var err error
	if e.Wait > 0 {
		err = e.waitForFleet(&r)
	}
	if shown := s.printResult(r, func() {
		s.printf(s.Out, "%s version %d (request %s)\n", choose(r.Earlier, "an earlier command committed", "committed"), r.Version, r.Request)
		if r.Held {
			s.printf(s.Out, "in effect on every live daemon\n")
		}
	}); shown != nil {
		return shown
	}
	return err
}

// waitForFleet polls /status until every live daemon holds the version.
func (e *editor) waitForFleet(r *commitResult) error {
	s := e.session
	end := s.clock.Now().Add(e.Wait)
	progress := isTerminal(s.Err)
	lagging := []string{"unknown: no status from " + s.options.Admin.String()}
	for {
		v, err := s.fetchStatus()
		if err == nil {
			lagging = v.Below(r.Version)
			if len(v.Members) == 0 && v.Config.Version < r.Version {
				lagging = []string{v.Self.Name}
			}
			if len(lagging) == 0 {
				r.Held = true
				if progress {
					s.printf(s.Err, "\r\x1b[K")
				}
				return nil
			}
		}
		if progress {
			s.printf(s.Err, "\r\x1b[Kversion %d: %d daemons lag", r.Version, len(lagging))
		}
		left := end.Sub(s.clock.Now())
		if left > 0 {
			select {
			case <-s.ctx.Done():
				left = 0
			case <-s.clock.After(min(left, pollInterval)):
			}
		}
		if left <= 0 {
			if progress {
				s.printf(s.Err, "\n")
			}
			r.Lagging = lagging
			return &LaggingError{Version: r.Version, Daemons: lagging}
		}
	}
}
