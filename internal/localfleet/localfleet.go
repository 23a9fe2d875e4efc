// Package localfleet makes the settings of a small fleet on loopback addresses,
// with fresh keys and certificates, for the demo and the developers' tool.
package localfleet

import (
	"crypto/rand"
	"fmt"
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/pki"
	"github.com/almondledge/almondledge/internal/settings"
)

const (
	// certificateLifetime bounds the use of the generated certificates.
	certificateLifetime = 24 * time.Hour
	// region is the region that the settings name.
	region = "local"
	// CallerHost is the host name of the certificate that callers see.
	CallerHost = "almondledge.example"
)

// Fleet issues settings that belong together.
type Fleet struct {
	authority *pki.Authority
	caller    pki.KeyPair
	keys      []settings.PacketKey
	// StoreURL is the base URL of the platform's store.
	StoreURL string
	// FabricAddr is the UDP address that the fabric takes replies on.
	FabricAddr netip.AddrPort
	// Seeds are the balancers for first contact.
	Seeds []netip.AddrPort
	// AdminToken is the bearer token of the administration API.
	AdminToken string
}

// New returns a fleet with fresh keys.
func New(storeURL string, fabricAddr netip.AddrPort, seeds []netip.AddrPort) (*Fleet, error) {
	now := time.Now()
	authority, err := pki.NewAuthority(now, certificateLifetime)
	if err != nil {
		return nil, err
	}
	caller, err := authority.IssueServiceCertificate([]string{CallerHost}, nil, now, certificateLifetime)
	if err != nil {
		return nil, err
	}
	secret := make([]byte, settings.SecretBytes)
	_, _ = rand.Read(secret) // never fails
	return &Fleet{
		authority:  authority,
		caller:     caller,
		keys:       []settings.PacketKey{{Version: 0, Secret: secret}},
		StoreURL:   storeURL,
		FabricAddr: fabricAddr,
		Seeds:      seeds,
		AdminToken: rand.Text(),
	}, nil
}

// PacketKeys returns the packet keys of the settings that the fleet issues.
func (f *Fleet) PacketKeys() []settings.PacketKey {
	return f.keys
}

// SetPacketKeys changes the packet keys of the settings that are issued from now on.
func (f *Fleet) SetPacketKeys(keys []settings.PacketKey) {
	f.keys = keys
}

// CallerCA returns the PEM certificate that callers must trust.
func (f *Fleet) CallerCA() string {
	return f.authority.KeyPair().Certificate
}

// Balancer returns the settings of a balancer. Its UDP address is addr, its
// stream address the same TCP address; the fabric reaches it at fabricListen.
func (f *Fleet) Balancer(dataCentre string, addr, fabricListen, admin netip.AddrPort) (settings.Balancer, error) {
	common, err := f.common(pki.RoleBalancer, dataCentre, addr, admin)
	if err != nil {
		return settings.Balancer{}, err
	}
	balancer := settings.Balancer{Common: common, FabricListen: fabricListen, FabricAddress: f.FabricAddr}
	return balancer, balancer.Validate()
}

// Agent returns the settings of an agent whose backend server announces itself
// on the loopback address announce.
func (f *Fleet) Agent(dataCentre string, addr, announce, admin netip.AddrPort) (settings.Agent, error) {
	common, err := f.common(pki.RoleAgent, dataCentre, addr, admin)
	if err != nil {
		return settings.Agent{}, err
	}
	agent := settings.Agent{
		Common:             common,
		Announce:           announce,
		Capacity:           settings.DefaultCapacity,
		CallerTLS:          settings.CallerTLS{Certificate: f.caller.Certificate, Key: settings.Token(f.caller.Key)},
		DrainTimeoutMillis: settings.DefaultDrainTimeout.Milliseconds(),
	}
	return agent, agent.Validate()
}

func (f *Fleet) common(role pki.Role, dataCentre string, addr, admin netip.AddrPort) (settings.Common, error) {
	pair, err := f.authority.Issue(role, time.Now(), certificateLifetime)
	if err != nil {
		return settings.Common{}, err
	}
	if !admin.IsValid() {
		return settings.Common{}, fmt.Errorf("no admin address for %v", addr)
	}
	return settings.Common{
		Role:                  settings.Role(role),
		Address:               addr,
		Stream:                addr,
		Admin:                 admin,
		DataCentre:            dataCentre,
		Region:                region,
		Peers:                 f.Seeds,
		Store:                 settings.Store{Endpoints: []string{f.StoreURL}},
		PacketKeys:            f.keys,
		TLS:                   settings.TLS{CA: f.authority.KeyPair().Certificate, Certificate: pair.Certificate, Key: settings.Token(pair.Key)},
		AdminToken:            settings.Token(f.AdminToken),
		ControlBytesPerSecond: settings.DefaultControlBytesPerSecond,
		LogLevel:              settings.DefaultLogLevel,
	}, nil
}
