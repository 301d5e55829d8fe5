package main

import (
	"errors"

	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/config/platform"
)

// readSettings reads the operator's file, or what the platform tells, or both.
func readSettings(file, platformFile string) (*operator.Settings, error) {
	if file == "" && platformFile == "" {
		return nil, errors.New("no settings: give --settings FILE, or COPPERROCK_SETTINGS, or LB_CONFIG where a platform starts the program")
	}
	var told *platform.Config
	if platformFile != "" {
		c, err := platform.Read(platformFile)
		if err != nil {
			return nil, err
		}
		if file == "" {
			return operator.FromPlatform(c, sections...), nil
		}
		told = &c
	}
	return operator.Read(file, told, sections...)
}

// sections are the parts of the operator's settings that parts of the program declare.
var sections = []operator.Section{fleetSection, sharedWorkSection, storeSection}
