package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/arbutuswinch/winch/dispatch/audit"
	"github.com/arbutuswinch/winch/winchload/result"
)

// These values are the same as the defaults in the tags of auditCommand.
const (
	defaultNotice     = 3 * time.Second
	defaultStarvation = 15 * time.Second
)

// auditCommand checks the dispatch decisions that a deployment's hosts logged.
type auditCommand struct {
	Directory  string        `arg:"positional,required" help:"directory with the hosts' logs at level info" placeholder:"DIR"`
	Notice     time.Duration `arg:"--notice" default:"3s" help:"time for which a leaving endpoint may still receive work"`
	Starvation time.Duration `arg:"--starvation" default:"15s" help:"longest time that a class may wait without any of its requests being served"`
}

func (c *auditCommand) execute(out io.Writer) error {
	report, err := auditLogs(c.Directory, c.Notice, c.Starvation, out)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "routed %d, refused %d, preempted %d; refused although the host knew of lower-tier work: %d; in the merged logs: refused although lower-tier work existed: %d, preempted for no higher tier: %d, classes starved: %d, sent to an endpoint after its notice: %d\n",
		report.Routed, report.Refused, report.Preemptions, report.ShedKnown, report.ShedTrue, report.Preempted, report.Starved, report.LateWork)
	return err
}

// auditLogs checks the host logs in the directory against the dispatch rules. It writes
// each violation to list unless list is nil.
func auditLogs(directory string, notice, starvation time.Duration, list io.Writer) (*result.Audit, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*.log"))
	if err != nil || len(paths) == 0 {
		return nil, fmt.Errorf("audit %s: no log files found", directory)
	}
	logs := make([]io.Reader, 0, len(paths))
	for _, path := range paths {
		log, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("open log: %w", err)
		}
		defer log.Close()
		logs = append(logs, log)
	}
	lines, err := audit.Read(logs...)
	if err != nil {
		return nil, fmt.Errorf("audit %s: %w", directory, err)
	}
	report := audit.Check(lines, audit.Settings{LeavingGrace: notice, StarvationLimit: starvation})
	for _, violation := range report.Violations {
		if list != nil {
			_, _ = fmt.Fprintln(list, violation)
		}
	}
	return &result.Audit{
		Routed: report.Routed, Refused: report.Refused, Preemptions: report.Preempted,
		ShedKnown: report.Count(audit.KindKnownAvoidableRefusal), ShedTrue: report.Count(audit.KindAvoidableRefusal),
		Preempted: report.Count(audit.KindInvalidPreemption), Starved: report.Count(audit.KindStarved), LateWork: report.Count(audit.KindSentToLeaving),
	}, nil
}
