package cli

import (
	"errors"
	"os"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/explain"
)

// explainCommand prints the timeline of one flow from the logs of processes.
type explainCommand struct {
	Flow string   `arg:"" help:"Flow: the caller's address:port, or the full key as in the logs."`
	Logs []string `arg:"" optional:"" help:"Log files of processes; standard input if there are none." type:"existingfile"`
}

// Run prints the timeline.
func (c explainCommand) Run(streams Streams) error {
	timeline := explain.New(c.Flow)
	if len(c.Logs) == 0 {
		if err := timeline.Read(os.Stdin); err != nil {
			return unreadableLog(err, "standard input")
		}
	}
	for _, path := range c.Logs {
		if err := readLog(timeline, path); err != nil {
			return unreadableLog(err, path)
		}
	}
	return timeline.Write(streams.Out)
}

func readLog(timeline *explain.Timeline, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(timeline.Read(file), file.Close())
}

func unreadableLog(cause error, what string) error {
	return errkind.Wrap(cause, errkind.Unavailable, "cannot read "+what, "give readable log files of processes")
}
