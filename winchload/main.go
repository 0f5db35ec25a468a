// Command winchload measures arbutuswinch under load on local stand-ins. It generates
// open-loop arrivals of several classes and organisations, bursts and faults from a seed.
//
// # Usage
//
//	winchload run --experiment experiments/probababa.json --targets 127.0.0.1:8001,127.0.0.1:8002 \
//		--control 127.0.0.1:7009 --seed 1 --out out/run.json
//	winchload direct --experiment experiments/probababa.json --control 127.0.0.1:7009 --out out/direct.json
//	winchload pair --experiment experiments/probababa.json --policies Winch,Random --seeds 1,2,3 --out out/pair
//	winchload table out/pair/*.json
//	winchload matrix --scenarios experiments/scenarios --policies Winch,LeastReported --seeds 1,2,3,4,5 --parallel 3 --out out/matrix
//	winchload audit out/matrix/probababa-burst-Winch-1
//	winchload call --address 127.0.0.1:8001 --key KEY --class store-floor --model atlas-8b
//	winchload settings --experiment experiments/probababa.json --base-port 7000 --out out/set
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"
)

type arguments struct {
	Run      *runCommand      `arg:"subcommand:run" help:"send load to running hosts"`
	Direct   *directCommand   `arg:"subcommand:direct" help:"send the same load directly to the stand-in endpoints"`
	Pair     *pairCommand     `arg:"subcommand:pair" help:"start local deployments and compare policies or builds"`
	Matrix   *matrixCommand   `arg:"subcommand:matrix" help:"run all scenarios of a directory with several policies and seeds"`
	Audit    *auditCommand    `arg:"subcommand:audit" help:"find dispatch decisions that violate a rule in the logs of a deployment's hosts"`
	Table    *tableCommand    `arg:"subcommand:table" help:"print a Markdown table of result files"`
	Call     *callCommand     `arg:"subcommand:call" help:"send one request as a caller and print the response"`
	Capacity *capacityCommand `arg:"subcommand:capacity" help:"measure the cost of the control plane by the number of hosts, endpoints, organisations and changes"`
	Settings *settingsCommand `arg:"subcommand:settings" help:"write the settings files and the release note of an experiment"`
}

// gcPercent is the value of GOGC. It is higher than the default of 100, so that
// garbage collections delay fewer sends.
const gcPercent = 800

func main() {
	debug.SetGCPercent(gcPercent)
	args := arguments{}
	parser := arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := execute(ctx, parser, args); err != nil {
		fmt.Fprintln(os.Stderr, "winchload:", err)
		os.Exit(1)
	}
}

func execute(ctx context.Context, parser *arg.Parser, args arguments) error {
	switch {
	case args.Run != nil:
		return args.Run.execute(ctx)
	case args.Direct != nil:
		return args.Direct.execute(ctx)
	case args.Pair != nil:
		return args.Pair.execute(ctx)
	case args.Matrix != nil:
		return args.Matrix.execute(ctx)
	case args.Audit != nil:
		return args.Audit.execute(os.Stdout)
	case args.Table != nil:
		return args.Table.execute(os.Stdout)
	case args.Call != nil:
		return args.Call.execute(ctx, os.Stdout)
	case args.Capacity != nil:
		return args.Capacity.execute(ctx)
	case args.Settings != nil:
		return args.Settings.execute()
	}
	parser.WriteHelp(os.Stdout)
	return nil
}
