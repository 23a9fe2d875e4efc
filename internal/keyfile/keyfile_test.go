package keyfile

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/keyring"
	"github.com/almondledge/almondledge/internal/settings"
)

func TestFilledExamplesAreValid(t *testing.T) {
	is := is.New(t)
	keys, err := New(time.Now())
	is.NoErr(err)
	for _, role := range []settings.Role{settings.RoleBalancer, settings.RoleAgent, settings.RoleOperator} {
		template, err := os.ReadFile(filepath.Join("..", "..", "examples", string(role)+".json"))
		is.NoErr(err)
		filled, err := keys.Fill(template, FillOptions{Now: time.Now(), CallerNames: []string{"rezervasyon.test"}})
		is.NoErr(err)
		path := filepath.Join(t.TempDir(), "filled.json")
		is.NoErr(WriteFile(path, filled))
		found, err := settings.Check(path)
		is.NoErr(err)
		is.Equal(found, role)
		is.True(strings.HasPrefix(string(filled), "{\n  \"role\":")) // the order of the fields is kept
	}
}

func TestFillKeepsOtherFieldsAndRefusesUnknownRoles(t *testing.T) {
	is := is.New(t)
	keys, err := New(time.Now())
	is.NoErr(err)
	filled, err := keys.Fill([]byte(`{"role":"agent","adminToken":"chosen by hand","peers":["GENERATE"]}`), FillOptions{Now: time.Now()})
	is.NoErr(err)
	is.Equal(string(filled), "{\n  \"role\": \"agent\",\n  \"adminToken\": \"chosen by hand\",\n  \"peers\": [\n    \"GENERATE\"\n  ]\n}\n")
	for _, template := range []string{`{"role":"fabric"}`, `{}`, `[]`, `{"role":`, `{"role":"agent"`} {
		_, err := keys.Fill([]byte(template), FillOptions{})
		is.True(errkind.Is(err, errkind.Invalid))
	}
}

// TestRotationIsAccepted applies each step of a key rotation to the keyring of a
// running process, which must accept it.
func TestRotationIsAccepted(t *testing.T) {
	is := is.New(t)
	keys, err := New(time.Now())
	is.NoErr(err)
	ring, err := keyring.New(keys.PacketKeys)
	is.NoErr(err)

	version, err := keys.Add()
	is.NoErr(err)
	is.NoErr(ring.Replace(keys.PacketKeys, time.Now()))
	is.NoErr(keys.Promote(version))
	is.NoErr(ring.Replace(keys.PacketKeys, time.Now()))
	is.Equal(int(ring.Current().Version), version)
	is.True(errkind.Is(keys.Remove(version), errkind.Invalid)) // the current version must not be removed
	is.NoErr(keys.Remove(0))
	is.NoErr(ring.Replace(keys.PacketKeys, time.Now()))
	is.Equal(len(ring.Versions()), 1)

	is.True(errkind.Is(keys.Remove(0), errkind.NotFound))
	is.True(errkind.Is(keys.Promote(0), errkind.NotFound))
	for range settings.MaxKeyVersion {
		_, err = keys.Add()
		is.NoErr(err)
	}
	_, err = keys.Add()
	is.True(errkind.Is(err, errkind.Invalid)) // all versions are in use
}

func TestSaveAndLoad(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "keys.json")
	is.True(!Exists(path))
	keys, err := New(time.Now())
	is.NoErr(err)
	is.NoErr(keys.Save(path))
	loaded, err := Load(path)
	is.NoErr(err)
	is.Equal(loaded, keys)
	info, err := os.Stat(path)
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(filePermissions))
	is.NoErr(WriteFile(path, []byte("{}")))
	_, err = Load(path)
	is.True(errkind.Is(err, errkind.Invalid))
}
