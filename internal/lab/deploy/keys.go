package deploy

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/settings"
)

// AddPacketKey adds a fresh packet key to the settings of all balancers and
// agents, as one that is accepted, and makes them load it.
func (d *Deployment) AddPacketKey() error {
	d.mu.Lock()
	d.keyVersion++
	version := d.keyVersion
	d.mu.Unlock()
	if version > settings.MaxKeyVersion {
		return errkind.New(errkind.Overloaded, "no version is left for another packet key", "start a new run")
	}
	secret := make([]byte, settings.SecretBytes)
	_, _ = rand.Read(secret) // never fails
	return d.reload(func(keys []settings.PacketKey) []settings.PacketKey {
		return append(keys, settings.PacketKey{Version: version, Secret: secret})
	})
}

// UsePacketKey makes the newest packet key the current one everywhere.
func (d *Deployment) UsePacketKey() error {
	return d.reload(func(keys []settings.PacketKey) []settings.PacketKey {
		newest := slices.MaxFunc(keys, func(a, b settings.PacketKey) int { return a.Version - b.Version })
		older := slices.DeleteFunc(keys, func(k settings.PacketKey) bool { return k.Version == newest.Version })
		return append([]settings.PacketKey{newest}, older...)
	})
}

// reload changes the packet keys in all settings files and tells the processes.
func (d *Deployment) reload(change func([]settings.PacketKey) []settings.PacketKey) error {
	var processes []*Process
	for _, b := range d.Balancers() {
		processes = append(processes, b.Process)
	}
	for _, h := range d.Hosts {
		processes = append(processes, h.Agent)
	}
	for _, p := range processes {
		if err := changeKeys(filepath.Join(d.cfg.Dir, p.Name+".json"), change); err != nil {
			return fmt.Errorf("settings of %s: %w", p.Name, err)
		}
		if !p.Running() {
			continue // it reads the file when it starts
		}
		if err := p.Signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	return nil
}

func changeKeys(file string, change func([]settings.PacketKey) []settings.PacketKey) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return err
	}
	var keys []settings.PacketKey
	if err := json.Unmarshal(fields["packetKeys"], &keys); err != nil {
		return err
	}
	if fields["packetKeys"], err = json.Marshal(change(keys)); err != nil {
		return err
	}
	if text, err = json.MarshalIndent(fields, "", "  "); err != nil {
		return err
	}
	return os.WriteFile(file, text, secretFileMode)
}
