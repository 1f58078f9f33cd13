package main

import (
	_ "embed"
	"encoding/json"
)

// wireTexts holds the paths and headers of the users' platform.
type wireTexts struct {
	Start, Stop, Hold, Pace  string
	Instances, Config, Ready string
	Expect, Deadline, Scheme string
}

//go:embed wire.json
var wireFile []byte

var wire = mustReadWire()

func mustReadWire() wireTexts {
	var texts wireTexts
	if err := json.Unmarshal(wireFile, &texts); err != nil {
		panic(err)
	}
	return texts
}

// amounts are resources of a task or an executor.
type amounts struct {
	CPU          int64 `json:"cpu-milli,omitempty"`
	Memory       int64 `json:"memory-mb,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// step is a step of a job.
type step struct {
	Width int `json:"width"`
	amounts
	EstimateMillis int64  `json:"estimate-ms,omitempty"`
	NeedsLabel     string `json:"needs-label,omitempty"`
	LongRunning    bool   `json:"long-running,omitempty"`
	MayMiss        int    `json:"may-miss,omitempty"`
	Checkpoints    bool   `json:"checkpoints,omitempty"`
}

// job is the body of a submission.
type job struct {
	Spec     string `json:"spec"`
	Steps    []step `json:"steps"`
	StartAt  int64  `json:"start-at-ms,omitempty"`
	Repeat   int    `json:"repeat,omitempty"`
	Interval int64  `json:"interval-ms,omitempty"`
}
