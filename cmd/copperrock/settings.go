package main

import (
	"errors"

	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/config/platform"
)

// readSettings reads the operator's file, the platform's configuration, or both.
func readSettings(file, platformFile string) (*operator.Settings, error) {
	if file == "" && platformFile == "" {
		return nil, errors.New("no settings: give --settings FILE, or COPPERROCK_SETTINGS, or LB_CONFIG where a platform starts the program")
	}
	var platformConfig *platform.Config
	if platformFile != "" {
		c, err := platform.Read(platformFile)
		if err != nil {
			return nil, err
		}
		if file == "" {
			return operator.FromPlatform(c, sections...), nil
		}
		platformConfig = &c
	}
	return operator.Read(file, platformConfig, sections...)
}

// sections are the sections of the operator's settings that other packages declare.
var sections = []operator.Section{fleetSection, sharedWorkSection, storeSection}
