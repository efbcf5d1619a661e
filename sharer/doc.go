// Package sharer holds this host's share of each customer's rate and moves spare tokens between
// hosts, so that all hosts together never spend more than the rate and the burst.
package sharer
