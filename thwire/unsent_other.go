//go:build !linux

package thwire

import "errors"

func setMaxUnsent(uintptr, int) error { return errors.ErrUnsupported }
