// Package identifier issues identities for non-idempotent operations and lets each of them run at
// most once.
package identifier
