// Package isolator keeps a request that crashes targets from running on target after target: it
// suspects what was lost in a crash, lets suspects run only alone and refuses the convicted.
package isolator
