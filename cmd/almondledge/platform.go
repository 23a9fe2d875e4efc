package main

import "github.com/almondledge/almondledge/platform"

// platformCmd groups the roles on the users' platform, whose settings file is named
// by an environment variable.
type platformCmd struct {
	Balancer platformBalancerCmd `cmd:"" help:"Run a balancer of callers' flows."`
	Agent    platformAgentCmd    `cmd:"" help:"Run an agent beside a backend server."`
}

// platformBalancerCmd runs a balancer.
type platformBalancerCmd struct{}

// Run serves until the process is told to stop.
func (platformBalancerCmd) Run() error { return platform.RunBalancer() }

// platformAgentCmd runs an agent.
type platformAgentCmd struct{}

// Run serves until the process is told to stop.
func (platformAgentCmd) Run() error { return platform.RunAgent() }
