// Package spreader spreads callers over hosts of uneven size: each caller gets a few hosts, and
// larger hosts get more callers.
package spreader
