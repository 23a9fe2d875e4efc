package main

import "github.com/almondledge/almondledge/platform"

// platformCmd groups the commands for the operators' platform. They read the path of the settings file from an
// environment variable.
type platformCmd struct {
	Balancer platformBalancerCmd `cmd:"" help:"Run a balancer."`
	Agent    platformAgentCmd    `cmd:"" help:"Run an agent beside a backend server."`
}

// platformBalancerCmd runs a balancer on the platform.
type platformBalancerCmd struct{}

// Run runs a balancer until the process receives a signal to stop.
func (platformBalancerCmd) Run() error { return platform.RunBalancer() }

// platformAgentCmd runs an agent on the platform.
type platformAgentCmd struct{}

// Run runs an agent until the process receives a signal to stop.
func (platformAgentCmd) Run() error { return platform.RunAgent() }
