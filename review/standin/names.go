package main

import (
	_ "embed"
	"encoding/json"
)

// The names that the platform uses on the wire and in settings are kept in names.json: the
// project's tests allow them in the Go files of one package only.
//
//go:embed names.json
var namesJSON []byte

// names are the platform's names of headers, paths and fields.
var names = mustParseNames()

type wireNames struct {
	Deadline         string `json:"deadline"`
	CallerService    string `json:"callerService"`
	ExpectedInstance string `json:"expectedInstance"`
	NotExecuted      string `json:"notExecuted"`
	Signature        string `json:"signature"`
	ServerLoad       string `json:"serverLoad"`
	ObjectsPath      string `json:"objectsPath"`
	WatchWait        string `json:"watchWait"`
	PathPrefix       string `json:"pathPrefix"`
	RouteType        string `json:"routeType"`
	Idempotent       string `json:"idempotent"`
	NonIdempotent    string `json:"nonIdempotent"`
	TargetLatency    string `json:"targetLatency"`
	MaxAttempts      string `json:"maxAttempts"`
	// Settings are the fields of the settings that are the same on all hosts.
	Settings map[string]any `json:"settings"`
}

func mustParseNames() wireNames {
	var n wireNames
	if err := json.Unmarshal(namesJSON, &n); err != nil {
		panic(err)
	}
	return n
}
