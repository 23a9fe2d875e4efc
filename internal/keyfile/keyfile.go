// Package keyfile makes and rotates the keys of a fleet, and fills them into
// settings files. The operators keep the key file; no process of the fleet
// reads it.
package keyfile

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/pki"
	"github.com/almondledge/almondledge/internal/settings"
)

// AuthorityLifetime is how long a new authority is valid.
const AuthorityLifetime = 10 * 365 * 24 * time.Hour

// maxFileBytes bounds a key file.
const maxFileBytes = 1 << 20

// filePermissions keep the keys from other users of the machine.
const filePermissions = 0o600

// Keys are the keys of one fleet.
type Keys struct {
	// PacketKeys are the fleet's packet keys; the first is current.
	PacketKeys []settings.PacketKey `json:"packetKeys"`
	// AdminToken is the bearer token of the administration API.
	AdminToken string `json:"adminToken"`
	// Authority signs the certificates of processes.
	Authority Authority `json:"authority"`
}

// Authority is the certificate and the private key of the fleet's authority.
type Authority struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// New makes the keys of a new fleet.
func New(now time.Time) (Keys, error) {
	authority, err := pki.NewAuthority(now, AuthorityLifetime)
	if err != nil {
		return Keys{}, err
	}
	return Keys{
		PacketKeys: []settings.PacketKey{newPacketKey(0)},
		AdminToken: rand.Text(),
		Authority:  Authority(authority.KeyPair()),
	}, nil
}

// Load reads a key file.
func Load(path string) (Keys, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Keys{}, unreadable(err)
	}
	if info.Size() > maxFileBytes {
		return Keys{}, unreadable(fmt.Errorf("%s has %d bytes", path, info.Size()))
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Keys{}, unreadable(err)
	}
	var keys Keys
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&keys); err != nil {
		return Keys{}, unreadable(err)
	}
	if len(keys.PacketKeys) == 0 || keys.AdminToken == "" {
		return Keys{}, unreadable(fmt.Errorf("%s lacks keys", path))
	}
	return keys, nil
}

func unreadable(cause error) error {
	return errkind.Wrap(cause, errkind.Invalid, "key file", "give a key file that almondledge settings keys wrote")
}

// Exists reports whether there is a file at path.
func Exists(path string) bool {
	_, err := os.Stat(path)
	return !os.IsNotExist(err)
}

// Save writes the key file so that a crash leaves the old or the new content.
func (k Keys) Save(path string) error {
	raw, err := json.MarshalIndent(k, "", "  ")
	if err != nil {
		return err
	}
	return WriteFile(path, append(raw, '\n'))
}

// WriteFile replaces a file that holds secrets.
func WriteFile(path string, content []byte) error {
	temporary := path + ".new"
	err := os.WriteFile(temporary, content, fs.FileMode(filePermissions))
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		return errkind.Wrap(err, errkind.NotApplied, "writing "+path, "choose a directory that you may write to")
	}
	return nil
}

// Add adds a packet key behind the others: the first step of a rotation. All
// processes must accept it before Promote.
func (k *Keys) Add() (version int, err error) {
	for version = range settings.MaxKeyVersion + 1 {
		if k.index(version) < 0 {
			k.PacketKeys = append(k.PacketKeys, newPacketKey(version))
			return version, nil
		}
	}
	return 0, errkind.New(errkind.Invalid, "all versions of the packet key are in use", "remove a version that is no longer used")
}

// Promote makes a version current: the second step of a rotation.
func (k *Keys) Promote(version int) error {
	at := k.index(version)
	if at < 0 {
		return unknownVersion(version)
	}
	key := k.PacketKeys[at]
	k.PacketKeys = slices.Insert(slices.Delete(k.PacketKeys, at, at+1), 0, key)
	return nil
}

// Remove removes a version: the last step of a rotation. The current version
// cannot be removed.
func (k *Keys) Remove(version int) error {
	at := k.index(version)
	if at < 0 {
		return unknownVersion(version)
	}
	if at == 0 {
		return errkind.New(errkind.Invalid, fmt.Sprintf("version %d is current", version), "promote another version first")
	}
	k.PacketKeys = slices.Delete(k.PacketKeys, at, at+1)
	return nil
}

func (k *Keys) index(version int) int {
	return slices.IndexFunc(k.PacketKeys, func(key settings.PacketKey) bool { return key.Version == version })
}

func unknownVersion(version int) error {
	return errkind.New(errkind.NotFound, fmt.Sprintf("there is no packet key version %d", version), "look at the versions in the key file")
}

func newPacketKey(version int) settings.PacketKey {
	secret := make(settings.Secret, settings.SecretBytes)
	// crypto/rand.Read never fails; it ends the program if the system has no randomness.
	_, _ = rand.Read(secret)
	return settings.PacketKey{Version: version, Secret: secret}
}
