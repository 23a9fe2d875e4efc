package main

import (
	"os"

	"github.com/almondledge/almondledge/internal/agent"
	"github.com/almondledge/almondledge/internal/balancer"
	"github.com/almondledge/almondledge/internal/logging"
	"github.com/almondledge/almondledge/internal/network"
	"github.com/almondledge/almondledge/internal/process"
	"github.com/almondledge/almondledge/internal/settings"
)

// balancerCmd runs a balancer with a settings file.
type balancerCmd struct {
	Settings string `arg:"" help:"Settings file (JSON)." type:"existingfile"`
}

// Run runs a balancer until the process receives a signal to stop.
func (c balancerCmd) Run() error {
	config, err := settings.LoadBalancer(c.Settings)
	if err != nil {
		return err
	}
	logger, err := logging.New(os.Stderr, config.LogLevel, source(config.Common))
	if err != nil {
		return err
	}
	b, err := balancer.New(config, balancer.Options{Log: logger, Network: network.System{}})
	if err != nil {
		return err
	}
	reload := func() error {
		next, err := settings.LoadBalancer(c.Settings)
		if err != nil {
			return err
		}
		return b.Reload(next)
	}
	return process.Run(logger, b.Run, reload)
}

// agentCmd runs an agent with a settings file.
type agentCmd struct {
	Settings string `arg:"" help:"Settings file (JSON)." type:"existingfile"`
}

// Run runs an agent until the process receives a signal to stop.
func (c agentCmd) Run() error {
	config, err := settings.LoadAgent(c.Settings)
	if err != nil {
		return err
	}
	logger, err := logging.New(os.Stderr, config.LogLevel, source(config.Common))
	if err != nil {
		return err
	}
	a, err := agent.New(config, agent.Options{Log: logger, Network: network.System{}})
	if err != nil {
		return err
	}
	reload := func() error {
		next, err := settings.LoadAgent(c.Settings)
		if err != nil {
			return err
		}
		return a.Reload(next)
	}
	return process.Run(logger, a.Run, reload)
}

// source returns the fields that identify the process in its log lines.
func source(common settings.Common) logging.Source {
	return logging.Source{Role: string(common.Role), Instance: common.Address.String(), DataCentre: common.DataCentre}
}
