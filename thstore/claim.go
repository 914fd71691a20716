package thstore

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thplatform"
)

const (
	claimLife  = 24 * time.Hour
	claimTries = 3
	maxToken   = 200 // bytes
	maxKey     = 512 // bytes of an idempotency key
)

// Claim says that a call with an idempotency key was begun, by which attempt
// (Token), and with which HTTP status it ended.
type Claim struct {
	Route  string `json:"route"`
	Key    string `json:"key"`
	Token  string `json:"token"`
	Status int    `json:"status"`
	Done   bool   `json:"done"`
}

// ClaimedError carries the claim that stands in the way.
type ClaimedError struct{ Claim Claim }

// Error names the key and the state of the claim.
func (e *ClaimedError) Error() string {
	state := "outcome not recorded"
	if e.Claim.Done {
		state = fmt.Sprintf("ended with status %d", e.Claim.Status)
	}
	return fmt.Sprintf("key %q of route %s is already claimed, %s", e.Claim.Key, e.Claim.Route, state)
}

func claimKey(c Claim) thplatform.Key {
	return thplatform.Key{Partition: thplatform.ClaimPrefix + c.Route, Sort: c.Key}
}

func (s *Store) claimItem(c Claim) (thplatform.Item, error) {
	if c.Route == "" || c.Key == "" || c.Token == "" || len(c.Key) > maxKey || len(c.Token) > maxToken {
		return thplatform.Item{}, therror.New(therror.Bad, "a claim needs a route, a key of at most %d bytes and a token of at most %d bytes", maxKey, maxToken)
	}
	body, err := json.Marshal(c)
	if err != nil {
		return thplatform.Item{}, therror.Wrap(therror.Internal, err, "encode claim")
	}
	// The token is the digest, so that only its owner can settle or release.
	return thplatform.Item{Key: claimKey(c), Body: body, Digest: []byte(c.Token), Expiry: s.clock().Now().Add(claimLife)}, nil
}

// Claim claims a key. Kind Repeat, with a *ClaimedError, means that another
// token holds it. After a lost answer the claim is read back. Kind Unknown means
// that the claim may have been written.
func (s *Store) Claim(ctx context.Context, c Claim) error {
	item, err := s.claimItem(c)
	if err != nil {
		return err
	}
	uncertain := false
	for n := range claimTries {
		err = s.Table.Write(ctx, thplatform.Op{Item: item, If: thplatform.Missing{}})
		switch therror.KindOf(err) {
		case "":
			return nil
		case therror.Conflict:
		case therror.Unknown:
			uncertain = true
		default:
			return settled(err, uncertain)
		}
		found, own, readErr := s.readClaim(ctx, c)
		switch {
		case readErr != nil && (uncertain || therror.Is(readErr, therror.Repeat)):
			return settled(readErr, uncertain)
		case readErr != nil:
			return readErr
		case found && own:
			return nil
		}
		// The claim is absent: the write is still under way or the holder has
		// released the key. The same token may safely write again.
		if !s.sleep(ctx, rand.N(firstBackoff<<n)) {
			break
		}
	}
	return settled(err, uncertain)
}

// settled reports an error as Unknown when an earlier write may have taken
// effect. A claim of another token proves that it did not.
func settled(err error, uncertain bool) error {
	if !uncertain || therror.Is(err, therror.Repeat) || therror.Is(err, therror.Unknown) {
		return err
	}
	return therror.Wrap(therror.Unknown, err, "claim may have been written")
}

func (s *Store) readClaim(ctx context.Context, c Claim) (found, own bool, err error) {
	items, err := s.Table.Get(ctx, claimKey(c))
	if err != nil || len(items) == 0 {
		return false, false, err
	}
	if string(items[0].Digest) == c.Token {
		return true, true, nil
	}
	var other Claim
	if err := json.Unmarshal(items[0].Body, &other); err != nil {
		// The key is taken in any case.
		other = Claim{}
	}
	other.Route, other.Key = c.Route, c.Key
	return true, false, therror.Wrap(therror.Repeat, &ClaimedError{other}, "claim")
}

// Settle records the status of a call that was answered. Kind Conflict means
// that the claim is no longer that of the token.
func (s *Store) Settle(ctx context.Context, c Claim) error {
	c.Done = true
	item, err := s.claimItem(c)
	if err != nil {
		return err
	}
	return s.again(ctx, thplatform.Op{Item: item, If: thplatform.DigestEquals(c.Token)})
}

// Release removes the claim of a call that certainly did not run. A claim that
// is gone or has another token is left alone without an error.
func (s *Store) Release(ctx context.Context, c Claim) error {
	if c.Token == "" {
		return therror.New(therror.Bad, "a claim needs a token")
	}
	err := s.again(ctx, thplatform.Op{Item: thplatform.Item{Key: claimKey(c)}, Delete: true, If: thplatform.DigestEquals(c.Token)})
	if therror.Is(err, therror.Conflict) {
		return nil
	}
	return err
}

// again repeats an operation of unknown outcome, which must be idempotent.
func (s *Store) again(ctx context.Context, o thplatform.Op) error {
	var err error
	for n := range claimTries {
		if err = s.Table.Write(ctx, o); !therror.Is(err, therror.Unknown) {
			return err
		}
		if !s.sleep(ctx, rand.N(firstBackoff<<n)) {
			break
		}
	}
	return err
}
