// Package negotiator moves shares of rates between hosts: it sends the limiter's requests for
// loans and hands the replies back.
package negotiator
