// Package exchanger makes one HTTP/1.1 exchange at a time on a connection of the nbio engine and
// says of each failure whether the request can have run.
package exchanger
