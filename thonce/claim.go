package thonce

import (
	"context"

	"github.com/turmerichaven/turmerichaven/thstore"
)

// ClaimStore stores claims; *thstore.Store implements it. Claim returns an error of
// kind Repeat that wraps a *thstore.ClaimedError if another token holds the key. An
// error of kind Unknown means that the write may have taken effect, any other error
// that it has not.
type ClaimStore interface {
	Claim(ctx context.Context, c thstore.Claim) error
	Settle(ctx context.Context, c thstore.Claim) error
	Release(ctx context.Context, c thstore.Claim) error
}
