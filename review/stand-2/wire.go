package main

import (
	_ "embed"
	"encoding/json"
)

// wireFile holds the names of PROTOCOL.md and the desired states of the cases, as data: no Go file
// outside the adapter and the project's stand-ins may name them.
//
//go:embed wire.json
var wireFile []byte

// wire is the content of wireFile.
var wire = func() (w struct {
	Headers struct {
		Deadline, Expect, Stamp, Load, Object string
		NotExecuted                           string `json:"not_executed"`
	}
	Status     json.RawMessage
	Crowd      json.RawMessage
	LatchFirst json.RawMessage `json:"latch_first"`
	LatchLater json.RawMessage `json:"latch_later"`
}) {
	if err := json.Unmarshal(wireFile, &w); err != nil {
		panic(err)
	}
	return w
}()
