package deploy

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/settings"
)

// AddPacketKey adds a new packet key, which is accepted but not yet used, to the
// settings of all balancers and agents and makes them reload their settings.
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
	return d.updateKeys(func(keys []settings.PacketKey) []settings.PacketKey {
		return append(keys, settings.PacketKey{Version: version, Secret: secret})
	})
}

// UsePacketKey makes the newest packet key the current key in all balancers and agents.
func (d *Deployment) UsePacketKey() error {
	return d.updateKeys(func(keys []settings.PacketKey) []settings.PacketKey {
		newest := slices.MaxFunc(keys, func(a, b settings.PacketKey) int { return a.Version - b.Version })
		older := slices.DeleteFunc(keys, func(k settings.PacketKey) bool { return k.Version == newest.Version })
		return append([]settings.PacketKey{newest}, older...)
	})
}

// ProcessesWithoutNewestKey returns the names of the running balancers and agents whose
// current packet key is not the newest key.
func (d *Deployment) ProcessesWithoutNewestKey(ctx context.Context) []string {
	d.mu.Lock()
	current := fmt.Sprintf("almondledge_packet_key_current{version=\"%d\"} 1\n", d.keyVersion)
	d.mu.Unlock()
	var outdated []string
	check := func(p *Process, admin netip.AddrPort) {
		if !p.Running() {
			return
		}
		text, err := d.metricsText(ctx, admin)
		if err != nil || !strings.Contains(text, current) {
			outdated = append(outdated, p.Name)
		}
	}
	for _, b := range d.Balancers() {
		check(b.Process, b.admin)
	}
	for _, h := range d.Hosts {
		check(h.Agent, h.admin)
	}
	return outdated
}

func (d *Deployment) metricsText(ctx context.Context, admin netip.AddrPort) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin.String()+"/metrics", nil)
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+d.fleet.AdminToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBody))
	return string(text), err
}

// updateKeys changes the packet keys in all settings files and sends SIGHUP to the
// running processes.
func (d *Deployment) updateKeys(change func([]settings.PacketKey) []settings.PacketKey) error {
	var processes []*Process
	for _, b := range d.Balancers() {
		processes = append(processes, b.Process)
	}
	for _, h := range d.Hosts {
		processes = append(processes, h.Agent)
	}
	for _, p := range processes {
		if err := rewriteKeys(filepath.Join(d.cfg.Dir, p.Name+".json"), change); err != nil {
			return fmt.Errorf("settings of %s: %w", p.Name, err)
		}
		if !p.Running() {
			continue // the process reads the file at its next start
		}
		if err := p.Signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	return nil
}

// rewriteKeys applies change to the packet keys in a settings file.
func rewriteKeys(file string, change func([]settings.PacketKey) []settings.PacketKey) error {
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
