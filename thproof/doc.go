// Package thproof contains the integration tests of the guarantees in
// docs/design.md. They run real processes, kill and freeze them, cut their links
// and make the platform fail.
package thproof
