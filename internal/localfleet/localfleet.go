// Package localfleet generates the settings of a small fleet on loopback addresses,
// with new keys and certificates, for the demo and the developers' tool.
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
	// certificateLifetime is how long the generated certificates are valid.
	certificateLifetime = 24 * time.Hour
	// region is the region in the settings of all processes.
	region = "local"
	// CallerHost is the host name in the certificate that agents present to callers.
	CallerHost = "almondledge.example"
)

// Fleet generates the settings of the processes of one fleet, which share its keys
// and its authority.
type Fleet struct {
	authority   *pki.Authority
	serviceCert pki.KeyPair
	keys        []settings.PacketKey
	// StoreURL is the base URL of the platform's store.
	StoreURL string
	// FabricAddr is the UDP address on which the fabric receives replies.
	FabricAddr netip.AddrPort
	// Seeds are the addresses of balancers that a starting process contacts first.
	Seeds []netip.AddrPort
	// AdminToken is the bearer token of the administration API.
	AdminToken string
}

// New returns a fleet with new keys and a new authority.
func New(storeURL string, fabricAddr netip.AddrPort, seeds []netip.AddrPort) (*Fleet, error) {
	now := time.Now()
	authority, err := pki.NewAuthority(now, certificateLifetime)
	if err != nil {
		return nil, err
	}
	serviceCert, err := authority.IssueServiceCertificate([]string{CallerHost}, nil, now, certificateLifetime)
	if err != nil {
		return nil, err
	}
	secret := make([]byte, settings.SecretBytes)
	_, _ = rand.Read(secret) // rand.Read never fails
	return &Fleet{
		authority:   authority,
		serviceCert: serviceCert,
		keys:        []settings.PacketKey{{Version: 0, Secret: secret}},
		StoreURL:    storeURL,
		FabricAddr:  fabricAddr,
		Seeds:       seeds,
		AdminToken:  rand.Text(),
	}, nil
}

// PacketKeys returns the packet keys of the settings that the fleet generates.
func (f *Fleet) PacketKeys() []settings.PacketKey {
	return f.keys
}

// SetPacketKeys changes the packet keys of settings that are generated later.
func (f *Fleet) SetPacketKeys(keys []settings.PacketKey) {
	f.keys = keys
}

// CallerCA returns the PEM certificate that callers must trust.
func (f *Fleet) CallerCA() string {
	return f.authority.KeyPair().Certificate
}

// Balancer returns the settings of a balancer. addr is its UDP address and its TCP
// stream address; the fabric sends packets to it at fabricListen.
func (f *Fleet) Balancer(dataCentre string, addr, fabricListen, admin netip.AddrPort) (settings.Balancer, error) {
	common, err := f.common(pki.RoleBalancer, dataCentre, addr, admin)
	if err != nil {
		return settings.Balancer{}, err
	}
	balancer := settings.Balancer{Common: common, FabricListen: fabricListen, FabricAddress: f.FabricAddr}
	return balancer, balancer.Validate()
}

// Agent returns the settings of an agent. Its backend server sends announcements to
// the loopback address announce.
func (f *Fleet) Agent(dataCentre string, addr, announce, admin netip.AddrPort) (settings.Agent, error) {
	common, err := f.common(pki.RoleAgent, dataCentre, addr, admin)
	if err != nil {
		return settings.Agent{}, err
	}
	agent := settings.Agent{
		Common:             common,
		Announce:           announce,
		Capacity:           settings.DefaultCapacity,
		CallerTLS:          settings.CallerTLS{Certificate: f.serviceCert.Certificate, Key: settings.Token(f.serviceCert.Key)},
		DrainTimeoutMillis: settings.DefaultDrainTimeout.Milliseconds(),
	}
	return agent, agent.Validate()
}

// common returns the settings that balancers and agents share.
func (f *Fleet) common(role pki.Role, dataCentre string, addr, admin netip.AddrPort) (settings.Common, error) {
	pair, err := f.authority.Issue(role, time.Now(), certificateLifetime)
	if err != nil {
		return settings.Common{}, err
	}
	if !admin.IsValid() {
		return settings.Common{}, fmt.Errorf("no administration address for the process at %v", addr)
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
