package main

import (
	"fmt"

	"github.com/almondledge/almondledge/internal/lab/slopes"
)

// stateCmd measures the size of one balancer's state and the cost of operations on it.
type stateCmd struct {
	Balancers   int `default:"5900" help:"Balancers in the member table."`
	Agents      int `default:"38000" help:"Agents in the member table."`
	Services    int `default:"15000" help:"Services in the catalog."`
	DataCentres int `default:"14" help:"Number of data centres that the members are spread over."`
}

// Run measures and prints the results.
func (c stateCmd) Run() error {
	s, err := slopes.MeasureState(c.Balancers, c.Agents, c.Services, c.DataCentres)
	if err != nil {
		return err
	}
	fmt.Printf("members %d: heap %.1f MB, snapshot %.1f MB, merge %v, bucket %v\n",
		s.Balancers+s.Agents, megabytes(s.TableBytes), megabytes(uint64(s.TableSnapshot)), s.MergeTime, s.BucketTime)
	fmt.Printf("services %d: heap %.1f MB, snapshot %.1f MB, apply %v\n",
		s.Services, megabytes(s.CatalogBytes), megabytes(uint64(s.CatalogSnapshot)), s.ApplyTime)
	return nil
}

func megabytes(bytes uint64) float64 { return float64(bytes) / 1e6 }
