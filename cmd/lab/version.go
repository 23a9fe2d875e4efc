package main

import (
	"fmt"
	"runtime/debug"
)

// versionCmd prints the version of the tool.
type versionCmd struct{}

// Run prints the module version.
func (versionCmd) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		_, err := fmt.Println("lab: unknown version")
		return err
	}
	_, err := fmt.Println("lab", info.Main.Version)
	return err
}
