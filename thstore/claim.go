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
	claimTTL         = 24 * time.Hour
	maxClaimAttempts = 3
	maxTokenSize     = 200 // bytes
	maxKeySize       = 512 // bytes of an idempotency key
)

// Claim records that the attempt identified by Token started a call with an
// idempotency key and, once Done is set, the HTTP status of its response.
type Claim struct {
	Route  string `json:"route"`
	Key    string `json:"key"`
	Token  string `json:"token"`
	Status int    `json:"status"`
	Done   bool   `json:"done"`
}

// ClaimedError reports that another attempt has claimed the key.
type ClaimedError struct{ Claim Claim }

// Error includes the key, the route and the outcome of the existing claim.
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
	if c.Route == "" || c.Key == "" || c.Token == "" || len(c.Key) > maxKeySize || len(c.Token) > maxTokenSize {
		return thplatform.Item{}, therror.New(therror.Bad, "a claim needs a route, a key of at most %d bytes and a token of at most %d bytes", maxKeySize, maxTokenSize)
	}
	body, err := json.Marshal(c)
	if err != nil {
		return thplatform.Item{}, therror.Wrap(therror.Internal, err, "encode claim")
	}
	// The token is stored as the digest, so that a condition on the digest lets only
	// the claim's owner settle or release it.
	return thplatform.Item{Key: claimKey(c), Body: body, Digest: []byte(c.Token), Expiry: s.clock().Now().Add(claimTTL)}, nil
}

// Claim claims a key for the token. An error of kind Repeat wraps a *ClaimedError
// and means that another token has claimed the key. When a write's outcome is
// unknown, the claim is read back; an error of kind Unknown means that the claim
// may still have been written.
func (s *Store) Claim(ctx context.Context, c Claim) error {
	item, err := s.claimItem(c)
	if err != nil {
		return err
	}
	uncertain := false
	for n := range maxClaimAttempts {
		err = s.Table.Write(ctx, thplatform.Op{Item: item, If: thplatform.Missing{}})
		switch therror.KindOf(err) {
		case "":
			return nil
		case therror.Conflict:
		case therror.Unknown:
			uncertain = true
		default:
			return withUncertainty(err, uncertain)
		}
		found, own, readErr := s.readClaim(ctx, c)
		switch {
		case readErr != nil && (uncertain || therror.Is(readErr, therror.Repeat)):
			return withUncertainty(readErr, uncertain)
		case readErr != nil:
			return readErr
		case found && own:
			return nil
		}
		// The claim is absent: the write is still in progress, or the other token has
		// released the key. Repeating the write with the same token is idempotent.
		if !s.wait(ctx, rand.N(initialBackoff<<n)) {
			break
		}
	}
	return withUncertainty(err, uncertain)
}

// withUncertainty wraps an error with kind Unknown when an earlier write may have
// taken effect. A claim of another token proves that it did not.
func withUncertainty(err error, uncertain bool) error {
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
		// The key is claimed even if the claim's content is corrupt.
		other = Claim{}
	}
	other.Route, other.Key = c.Route, c.Key
	return true, false, therror.Wrap(therror.Repeat, &ClaimedError{other}, "claim")
}

// Settle records the status of a call that got a response. An error of kind
// Conflict means that the token no longer owns the claim.
func (s *Store) Settle(ctx context.Context, c Claim) error {
	c.Done = true
	item, err := s.claimItem(c)
	if err != nil {
		return err
	}
	return s.retryUnknown(ctx, thplatform.Op{Item: item, If: thplatform.DigestEquals(c.Token)})
}

// Release deletes the claim of a call that is known not to have run. A claim that
// is missing or owned by another token is left unchanged without an error.
func (s *Store) Release(ctx context.Context, c Claim) error {
	if c.Token == "" {
		return therror.New(therror.Bad, "a claim needs a token")
	}
	err := s.retryUnknown(ctx, thplatform.Op{Item: thplatform.Item{Key: claimKey(c)}, Delete: true, If: thplatform.DigestEquals(c.Token)})
	if therror.Is(err, therror.Conflict) {
		return nil
	}
	return err
}

// retryUnknown writes an idempotent operation and repeats it while its outcome is
// unknown, up to maxClaimAttempts times.
func (s *Store) retryUnknown(ctx context.Context, o thplatform.Op) error {
	var err error
	for n := range maxClaimAttempts {
		if err = s.Table.Write(ctx, o); !therror.Is(err, therror.Unknown) {
			return err
		}
		if !s.wait(ctx, rand.N(initialBackoff<<n)) {
			break
		}
	}
	return err
}
