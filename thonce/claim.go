package thonce

import (
	"context"

	"github.com/turmerichaven/turmerichaven/thstore"
)

// ClaimStore is the store of claims, a *thstore.Store. Claim gives kind Repeat with
// a *thstore.ClaimedError for a key that another token holds; Unknown means that
// the write may have taken effect; any other error that it did not.
type ClaimStore interface {
	Claim(ctx context.Context, c thstore.Claim) error
	Settle(ctx context.Context, c thstore.Claim) error
	Release(ctx context.Context, c thstore.Claim) error
}
