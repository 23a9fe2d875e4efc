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

// maxTemplateBytes bounds a settings file to fill in.
const maxTemplateBytes = 1 << 20

// directoryPermissions keep directories with keys from other users.
const directoryPermissions = 0o700

// settingsCommands are the commands under "settings".
type settingsCommands struct {
	Check checkCommand `cmd:"" help:"Check settings files of any role."`
	Keys  keysCommand  `cmd:"" help:"Make or rotate the keys of a fleet and fill them into settings files."`
}

type checkCommand struct {
	Files []string `arg:"" help:"Settings files." placeholder:"FILE" name:"file"`
}

// Run checks the files and names every one that is refused.
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

type keysCommand struct {
	KeyFile string   `arg:"" help:"Key file; it is made if it does not exist. Keep it where only operators can read it." placeholder:"KEYFILE"`
	Files   []string `arg:"" optional:"" help:"Settings files whose GENERATE placeholders to fill." placeholder:"FILE" name:"file"`
	Out     string   `help:"Directory for the filled files." placeholder:"DIR"`

	CallerName    []string     `help:"Host name for callers' certificates." placeholder:"NAME"`
	CallerAddress []netip.Addr `help:"Address for callers' certificates." placeholder:"IP"`

	AddKey     bool `help:"Rotation, first step: add a packet key that is accepted." xor:"rotate"`
	PromoteKey *int `help:"Rotation, second step: make this version current." placeholder:"VERSION" xor:"rotate"`
	RemoveKey  *int `help:"Rotation, last step: remove this version." placeholder:"VERSION" xor:"rotate"`
}

// Run makes or changes the key file and fills the settings files.
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

// keys loads or makes the keys, rotates them if asked, and saves them if changed.
func (c keysCommand) keys(w io.Writer) (keyfile.Keys, error) {
	if !keyfile.Exists(c.KeyFile) {
		return c.newKeys(w)
	}
	keys, err := keyfile.Load(c.KeyFile)
	if err != nil {
		return keys, err
	}
	done, err := c.rotate(&keys)
	if err != nil || done == "" {
		return keys, err
	}
	if err := keys.Save(c.KeyFile); err != nil {
		return keys, err
	}
	_, err = fmt.Fprintf(w, "%s: %s\n", c.KeyFile, done)
	return keys, err
}

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

// rotate carries out the step that the flags ask for and describes it.
func (c keysCommand) rotate(keys *keyfile.Keys) (done string, err error) {
	switch {
	case c.AddKey:
		version, err := keys.Add()
		return fmt.Sprintf("version %d added; bring it to every process, then use --promote-key %d", version, version), err
	case c.PromoteKey != nil:
		err := keys.Promote(*c.PromoteKey)
		return fmt.Sprintf("version %d is current; bring it to every process", *c.PromoteKey), err
	case c.RemoveKey != nil:
		err := keys.Remove(*c.RemoveKey)
		return fmt.Sprintf("version %d removed", *c.RemoveKey), err
	default:
		return "", nil
	}
}

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
		return errkind.Wrap(err, errkind.NotApplied, "directory "+c.Out, "choose a directory that you may write to")
	}
	target := filepath.Join(c.Out, filepath.Base(file))
	if err := keyfile.WriteFile(target, filled); err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s: written\n", target)
	return err
}
