package engine

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch/standin/counts"
	"github.com/arbutuswinch/winch/standin/fault"
)

// Defaults of Options.
const (
	DefaultBatchLimit             = 16
	DefaultWaitLimit              = 64
	DefaultStepBase               = 15 * time.Millisecond
	DefaultStepPerSequence        = 500 * time.Microsecond
	DefaultPrefillTokensPerSecond = 10000
	DefaultChunkTokens            = 512
	DefaultCacheTokens            = 200_000
	DefaultReportLag              = 200 * time.Millisecond
	DefaultEventLag               = 300 * time.Millisecond
)

// Weights identifies a model, with an optional adapter, that an engine has loaded.
type Weights struct {
	Model   string
	Adapter string
	Version string
}

// Options configure an engine. Zero numbers stand for the defaults.
type Options struct {
	ID     string
	Models []Weights
	// BatchLimit is the number of requests that run at once, WaitLimit the number that wait.
	BatchLimit int
	WaitLimit  int
	// The duration of a step is StepBase, plus StepPerSequence for each decoding request, plus
	// the prefilled tokens (at most ChunkTokens) divided by PrefillTokensPerSecond.
	StepBase               time.Duration
	StepPerSequence        time.Duration
	PrefillTokensPerSecond int
	ChunkTokens            int
	CacheTokens            int
	// ReportLag is the age of the reported load, EventLag that of the newest published cache events.
	ReportLag time.Duration
	EventLag  time.Duration
	// EventGap is the share of cache events that are never published.
	EventGap float64
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// Preempts lets a waiting request displace a running one that is less urgent.
	Preempts bool
	// WeightStore is the address of the weight store; when it is empty, weights load at once.
	WeightStore string
	Seed        uint64
	Counts      *counts.Table
	Board       *fault.Board
	Logger      hclog.Logger
}

func withDefaults(options Options) Options {
	setInt := func(value *int, fallback int) {
		if *value == 0 {
			*value = fallback
		}
	}
	setTime := func(value *time.Duration, fallback time.Duration) {
		if *value == 0 {
			*value = fallback
		}
	}
	setInt(&options.BatchLimit, DefaultBatchLimit)
	setInt(&options.WaitLimit, DefaultWaitLimit)
	setTime(&options.StepBase, DefaultStepBase)
	setTime(&options.StepPerSequence, DefaultStepPerSequence)
	setInt(&options.PrefillTokensPerSecond, DefaultPrefillTokensPerSecond)
	setInt(&options.ChunkTokens, DefaultChunkTokens)
	setInt(&options.CacheTokens, DefaultCacheTokens)
	setTime(&options.ReportLag, DefaultReportLag)
	setTime(&options.EventLag, DefaultEventLag)
	if options.Counts == nil {
		options.Counts = counts.New()
	}
	if options.Board == nil {
		options.Board = fault.NewBoard()
	}
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	return options
}
