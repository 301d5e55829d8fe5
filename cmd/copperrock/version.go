package main

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
)

type versionCommand struct{}

func (versionCommand) Run(out io.Writer) error {
	version, revision := "devel", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		if info.Main.Version != "" && info.Main.Version != "(devel)" {
			version = info.Main.Version
		}
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = " " + s.Value
			}
		}
	}
	_, err := fmt.Fprintf(out, "copperrock %s%s, %s\n", version, revision, runtime.Version())
	return err
}
