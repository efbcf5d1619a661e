// Package isolator limits how many targets a request can crash. Requests lost in a crash become
// suspects, which may run only as the sole request on a target. A suspect whose connection is lost
// again is quarantined: it is refused until its quarantine expires.
package isolator
