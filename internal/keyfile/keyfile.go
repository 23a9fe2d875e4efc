// Package keyfile generates and rotates the keys of a fleet and writes them into
// settings files. The key file is for operators only: no process of the fleet
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

// filePermissions let only the owner of a file read its keys.
const filePermissions = 0o600

// Keys holds the keys of one fleet. Its JSON form is the key file.
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

// New generates the keys of a new fleet.
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

// Load reads the key file at path. Its errors are of kind Invalid.
func Load(path string) (Keys, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Keys{}, loadError(err)
	}
	if info.Size() > maxFileBytes {
		return Keys{}, loadError(fmt.Errorf("%s is too large: it has %d bytes", path, info.Size()))
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Keys{}, loadError(err)
	}
	var keys Keys
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&keys); err != nil {
		return Keys{}, loadError(err)
	}
	if len(keys.PacketKeys) == 0 || keys.AdminToken == "" {
		return Keys{}, loadError(fmt.Errorf("%s has no packet keys or no administration token", path))
	}
	return keys, nil
}

func loadError(cause error) error {
	return errkind.Wrap(cause, errkind.Invalid, "cannot load the key file", "give a key file that almondledge settings keys wrote")
}

// Exists reports whether a file exists at path. It also returns true if that cannot
// be determined, for example for lack of permission.
func Exists(path string) bool {
	_, err := os.Stat(path)
	return !os.IsNotExist(err)
}

// Save writes the key file to path with WriteFile.
func (k Keys) Save(path string) error {
	raw, err := json.MarshalIndent(k, "", "  ")
	if err != nil {
		return err
	}
	return WriteFile(path, append(raw, '\n'))
}

// WriteFile replaces a file that holds secrets. The content is written to a
// temporary file that is then renamed, so that after a crash of the program the
// file has either the old or the new content.
func WriteFile(path string, content []byte) error {
	temporary := path + ".new"
	err := os.WriteFile(temporary, content, fs.FileMode(filePermissions))
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		return errkind.Wrap(err, errkind.NotApplied, "cannot write "+path, "choose a directory that you may write to")
	}
	return nil
}

// Add appends a new packet key with the lowest free version, which it returns. It
// is the first step of a rotation: all processes must accept the key before Promote
// makes it current.
func (k *Keys) Add() (version int, err error) {
	for version = range settings.MaxKeyVersion + 1 {
		if k.index(version) < 0 {
			k.PacketKeys = append(k.PacketKeys, newPacketKey(version))
			return version, nil
		}
	}
	return 0, errkind.New(errkind.Invalid, "the key file already has a packet key of every version", "remove a version that is no longer used")
}

// Promote makes a version current by moving its key to the front. It is the second
// step of a rotation.
func (k *Keys) Promote(version int) error {
	at := k.index(version)
	if at < 0 {
		return unknownVersionError(version)
	}
	key := k.PacketKeys[at]
	k.PacketKeys = slices.Insert(slices.Delete(k.PacketKeys, at, at+1), 0, key)
	return nil
}

// Remove removes a version, which must not be the current one. It is the last step
// of a rotation.
func (k *Keys) Remove(version int) error {
	at := k.index(version)
	if at < 0 {
		return unknownVersionError(version)
	}
	if at == 0 {
		return errkind.New(errkind.Invalid, fmt.Sprintf("version %d is current", version), "promote another version first")
	}
	k.PacketKeys = slices.Delete(k.PacketKeys, at, at+1)
	return nil
}

// index returns the position of the key with the given version, or -1.
func (k *Keys) index(version int) int {
	return slices.IndexFunc(k.PacketKeys, func(key settings.PacketKey) bool { return key.Version == version })
}

func unknownVersionError(version int) error {
	return errkind.New(errkind.NotFound, fmt.Sprintf("the key file has no packet key version %d", version), "use one of the versions in the key file")
}

func newPacketKey(version int) settings.PacketKey {
	secret := make(settings.Secret, settings.SecretBytes)
	// crypto/rand.Read never returns an error; it ends the program if the system has no randomness.
	_, _ = rand.Read(secret)
	return settings.PacketKey{Version: version, Secret: secret}
}
