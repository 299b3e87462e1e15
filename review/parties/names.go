package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesJSON []byte

// names are the names on the platform's wire. They stand in a file of their own, because only the
// folder platform may have them in source files.
var names = func() (n struct {
	Deadline, CallerService, ExpectedInstance, NotExecuted, Signature, Load string
	Objects, WaitMS                                                         string
	PathPrefix, RouteType, NonIdempotent, TargetLatency, MaxAttempts        string
}) {
	if err := json.Unmarshal(namesJSON, &n); err != nil {
		panic(err)
	}
	return n
}()
