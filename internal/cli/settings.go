package cli

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/keyfile"
	"github.com/almondledge/almondledge/internal/settings"
)

// maxTemplateBytes is the largest size of a settings file to fill in.
const maxTemplateBytes = 1 << 20

// directoryPermissions deny other users access to directories with keys.
const directoryPermissions = 0o700

// settingsCommands are the commands under "settings".
type settingsCommands struct {
	Check checkCommand `cmd:"" help:"Check settings files of any role."`
	Keys  keysCommand  `cmd:"" help:"Generate or rotate the keys of a fleet and fill them into settings files."`
}

// checkCommand validates settings files.
type checkCommand struct {
	Files []string `arg:"" help:"Settings files." placeholder:"FILE" name:"file"`
}

// Run checks the files and prints the result for each. It returns an error if any is refused.
func (c checkCommand) Run(streams Streams) error {
	refused := 0
	for _, file := range c.Files {
		role, err := settings.Check(file)
		if err != nil {
			refused++
			_, _ = fmt.Fprintf(streams.Out, "%s: refused: %v\n", file, err)
			continue
		}
		_, _ = fmt.Fprintf(streams.Out, "%s: valid settings of role %s\n", file, role)
	}
	if refused > 0 {
		return errkind.New(errkind.Invalid, fmt.Sprintf("%d of %d files refused", refused, len(c.Files)), "correct the fields named above")
	}
	return nil
}

// keysCommand manages the key file of a fleet.
type keysCommand struct {
	KeyFile string   `arg:"" help:"Key file; it is created if it does not exist. Keep it where only operators can read it." placeholder:"KEYFILE"`
	Files   []string `arg:"" optional:"" help:"Settings files whose GENERATE placeholders to fill." placeholder:"FILE" name:"file"`
	Out     string   `help:"Directory for the filled files." placeholder:"DIR"`

	CallerName    []string     `help:"Host name for callers' certificates." placeholder:"NAME"`
	CallerAddress []netip.Addr `help:"Address for callers' certificates." placeholder:"IP"`

	AddKey     bool `help:"Rotation, first step: add a packet key that is accepted." xor:"rotate"`
	PromoteKey *int `help:"Rotation, second step: make this version current." placeholder:"VERSION" xor:"rotate"`
	RemoveKey  *int `help:"Rotation, last step: remove this version." placeholder:"VERSION" xor:"rotate"`
}

// Run creates or changes the key file and fills in the settings files.
func (c keysCommand) Run(streams Streams) error {
	if len(c.Files) > 0 && c.Out == "" {
		return errkind.New(errkind.Invalid, "no directory for the filled files", "set --out DIR")
	}
	keys, err := c.keys(streams.Out)
	if err != nil {
		return err
	}
	for _, file := range c.Files {
		if err := c.fill(keys, file, streams.Out); err != nil {
			return err
		}
	}
	return nil
}

// keys loads or creates the keys, applies the rotation step of the flags, and saves the keys if they changed.
func (c keysCommand) keys(w io.Writer) (keyfile.Keys, error) {
	if !keyfile.Exists(c.KeyFile) {
		return c.newKeys(w)
	}
	keys, err := keyfile.Load(c.KeyFile)
	if err != nil {
		return keys, err
	}
	change, err := c.rotate(&keys)
	if err != nil || change == "" {
		return keys, err
	}
	if err := keys.Save(c.KeyFile); err != nil {
		return keys, err
	}
	_, err = fmt.Fprintf(w, "%s: %s\n", c.KeyFile, change)
	return keys, err
}

// newKeys creates the key file.
func (c keysCommand) newKeys(w io.Writer) (keyfile.Keys, error) {
	if c.PromoteKey != nil || c.RemoveKey != nil || c.AddKey {
		return keyfile.Keys{}, errkind.New(errkind.NotFound, "there is no key file "+c.KeyFile, "give the key file of the fleet")
	}
	keys, err := keyfile.New(time.Now())
	if err != nil {
		return keys, err
	}
	if err := keys.Save(c.KeyFile); err != nil {
		return keys, err
	}
	_, err = fmt.Fprintf(w, "%s: new keys\n", c.KeyFile)
	return keys, err
}

// rotate applies the rotation step of the flags and describes the change. Without a step it returns an empty string.
func (c keysCommand) rotate(keys *keyfile.Keys) (change string, err error) {
	switch {
	case c.AddKey:
		version, err := keys.Add()
		return fmt.Sprintf("version %d added; distribute it to all processes, then use --promote-key %d", version, version), err
	case c.PromoteKey != nil:
		err := keys.Promote(*c.PromoteKey)
		return fmt.Sprintf("version %d is current; distribute it to all processes", *c.PromoteKey), err
	case c.RemoveKey != nil:
		err := keys.Remove(*c.RemoveKey)
		return fmt.Sprintf("version %d removed", *c.RemoveKey), err
	default:
		return "", nil
	}
}

// fill writes a settings file with its placeholders filled in to the output directory.
func (c keysCommand) fill(keys keyfile.Keys, file string, w io.Writer) error {
	template, err := readBounded(file, maxTemplateBytes)
	if err != nil {
		return errkind.Wrap(err, errkind.Invalid, "settings file cannot be read", "give the path of a readable JSON file")
	}
	filled, err := keys.Fill(template, keyfile.FillOptions{Now: time.Now(), CallerNames: c.CallerName, CallerAddresses: c.CallerAddress})
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	if err := os.MkdirAll(c.Out, directoryPermissions); err != nil {
		return errkind.Wrap(err, errkind.NotApplied, "cannot create directory "+c.Out, "choose a directory that you may write to")
	}
	target := filepath.Join(c.Out, filepath.Base(file))
	if err := keyfile.WriteFile(target, filled); err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s: written\n", target)
	return err
}
