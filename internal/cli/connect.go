package cli

import (
	"time"

	"github.com/almondledge/almondledge/internal/adminapi"
	"github.com/almondledge/almondledge/internal/pki"
	"github.com/almondledge/almondledge/internal/settings"
)

// connection holds the flags of the commands that call the administration API.
type connection struct {
	Settings string `help:"Settings file of the operator." default:"operator.json" env:"ALMONDLEDGE_SETTINGS" placeholder:"FILE"`
	JSON     bool   `help:"Print the response as JSON." name:"json"`
}

// client returns a client for the administration addresses in the operator's settings file.
func (c connection) client() (*adminapi.Client, error) {
	operator, err := settings.LoadOperator(c.Settings)
	if err != nil {
		return nil, err
	}
	options := adminapi.ClientOptions{
		Endpoints: operator.Endpoints,
		Token:     string(operator.AdminToken),
		Timeout:   operator.Timeout(),
	}
	if !operator.TLS.IsZero() {
		identity, err := pki.NewIdentity(operator.TLS.CA, operator.TLS.Pair(), time.Now)
		if err != nil {
			return nil, err
		}
		options.TLS = identity.ClientConfig([]string{"h2", "http/1.1"}, pki.RoleBalancer, pki.RoleAgent)
	}
	return adminapi.NewClient(options), nil
}
