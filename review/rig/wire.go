package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireFile []byte

// wire holds the paths and headers of the platform's protocol.
var wire = loadWire()

func loadWire() map[string]string {
	texts := map[string]string{}
	if err := json.Unmarshal(wireFile, &texts); err != nil {
		panic(err)
	}
	return texts
}
