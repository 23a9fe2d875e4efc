package cli

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// versionCommand prints the version.
type versionCommand struct{}

// Run prints the version of the binary.
func (versionCommand) Run(streams Streams) error {
	_, err := fmt.Fprintf(streams.Out, "almondledge %s %s\n", Version(), runtime.Version())
	return err
}

// Version returns the module version, or the commit if the binary was built from a checkout.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" && info.Main.Version == "(devel)" {
			return "development " + setting.Value
		}
	}
	return info.Main.Version
}
