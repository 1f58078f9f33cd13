package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

// wireNames holds the paths and headers of the users' platform.
type wireNames struct {
	Start     string `json:"start"`
	Stop      string `json:"stop"`
	Hold      string `json:"hold"`
	Pace      string `json:"pace"`
	Instances string `json:"instances"`
	Config    string `json:"config"`
	WaveStart string `json:"wave_start"`
	WaveGet   string `json:"wave_get"`
	Machines  string `json:"machines"`
	Upkeep    string `json:"upkeep"`
	Expect    string `json:"expect"`
	Deadline  string `json:"deadline"`
	Holder    string `json:"holder"`
	Token     string `json:"token"`
}

//go:embed wire.json
var wireData []byte

// wire is read from wire.json.
var wire = func() wireNames {
	var names wireNames
	if err := json.Unmarshal(wireData, &names); err != nil {
		panic(fmt.Sprint("wire.json: ", err))
	}
	return names
}()
