package cli

import (
	"errors"
	"os"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/explain"
)

// explainCommand tells the story of one flow from logs.
type explainCommand struct {
	Flow string   `arg:"" help:"Flow: the caller's address:port, or the whole key as in the logs."`
	Logs []string `arg:"" optional:"" help:"Log files of processes; standard input if there are none." type:"existingfile"`
}

// Run prints the story.
func (c explainCommand) Run(streams Streams) error {
	story := explain.New(c.Flow)
	if len(c.Logs) == 0 {
		if err := story.Read(os.Stdin); err != nil {
			return unreadable(err, "standard input")
		}
	}
	for _, path := range c.Logs {
		if err := readLog(story, path); err != nil {
			return unreadable(err, path)
		}
	}
	return story.Write(streams.Out)
}

func readLog(story *explain.Timeline, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(story.Read(file), file.Close())
}

func unreadable(cause error, what string) error {
	return errkind.Wrap(cause, errkind.Unavailable, "cannot read "+what, "give files with the lines of processes")
}
