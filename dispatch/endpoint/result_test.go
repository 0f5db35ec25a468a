package endpoint

import (
	"bytes"
	"io"
	"math"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/dispatch/audit"
)

// classResult summarises the requests of a class.
type classResult struct {
	requests, attained, finished, refused, moves int
	worstWait                                    time.Duration
}

func (o classResult) share() float64 { return float64(o.attained) / math.Max(1, float64(o.requests)) }

// result summarises the requests of the class that arrived between two times.
func (m *model) result(class winch.ClassID, from, to time.Duration) classResult {
	sum := classResult{}
	for _, r := range m.all {
		at := r.work.Arrived.Sub(m.start)
		if r.class.class.ID != class || at < from || at >= to {
			continue
		}
		sum.requests++
		sum.moves += r.moves
		if r.refused != "" {
			sum.refused++
		}
		if r.finished {
			sum.finished++
		}
		if r.firstAt.IsZero() {
			if r.refused == "" {
				sum.worstWait = max(sum.worstWait, m.now.Sub(r.work.Arrived))
			}
			continue
		}
		sum.worstWait = max(sum.worstWait, r.firstAt.Sub(r.work.Arrived))
		if r.attained() {
			sum.attained++
		}
	}
	return sum
}

// attained reports whether the request met its class's targets as far as known: the time between
// tokens of an unfinished stream is not checked. The caller checks that there was a first token.
func (r *modelRequest) attained() bool {
	target := r.class.class
	if r.firstAt.Sub(r.work.Arrived) > target.FirstTokenTarget || r.refused != "" {
		return false
	}
	if target.InterTokenTarget == 0 || r.done < 2 {
		return true
	}
	end := r.endedAt
	if !r.finished {
		return true
	}
	return end.Sub(r.firstAt) <= time.Duration(r.done)*target.InterTokenTarget
}

// auditLogs audits the logs of all hosts.
func (m *model) auditLogs() audit.Report {
	var logs []io.Reader
	for _, log := range m.logs {
		logs = append(logs, bytes.NewReader(log.Bytes()))
	}
	lines, err := audit.Read(logs...)
	assert.NilError(m.t, err)
	return audit.Check(lines, audit.Settings{LeavingGrace: 3 * time.Second, StarvationLimit: 45 * time.Second})
}
