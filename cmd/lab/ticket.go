package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/almondledge/almondledge/internal/store/etcd"
	"github.com/almondledge/almondledge/internal/ticket"
)

// ticketCmd submits a change ticket directly to the store, without a balancer.
type ticketCmd struct {
	Store string `default:"http://127.0.0.1:2379" help:"URL of the platform's store."`
	File  string `arg:"" help:"Change ticket (JSON)." type:"existingfile"`
}

// Run submits the ticket and prints its number and revision.
func (c ticketCmd) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var change ticket.Ticket
	if err := json.Unmarshal(text, &change); err != nil {
		return err
	}
	client, err := etcd.New(etcd.Config{Endpoints: []string{c.Store}})
	if err != nil {
		return err
	}
	submitter := ticket.Submitter{Store: client}
	outcome, err := submitter.Submit(context.Background(), change)
	if err != nil {
		return err
	}
	fmt.Printf("ticket %s is number %d at revision %d\n", outcome.ID, outcome.Number, outcome.Revision)
	return nil
}
