// Command copperrock is a gateway for query engines. It accepts requests of clients and sends them to the engines that its
// admission controller chooses. Other sub-commands check settings and inspect a fleet or a store; the default is run.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// commands declares the command line.
type commands struct {
	Run     runCommand   `cmd:"" default:"withargs" help:"Serve until SIGTERM. This is what the program does without a command."`
	Check   checkCommand `cmd:"" help:"Check the operator's settings, and the list of engines that they name."`
	Engines struct {
		Check enginesCheck `cmd:"" help:"Check a list of engines."`
		Diff  enginesDiff  `cmd:"" help:"Show the differences between two lists of engines, and whether the new one would be applied."`
	} `cmd:"" help:"Work on files that list engines."`
	Fleet struct {
		Init   fleetInit   `cmd:"" help:"Create this voter's log for a new fleet. Never do this in a running fleet, except with --join."`
		Status fleetStatus `cmd:"" help:"Show the voters, the leader, and how each quantity is divided and used."`
		Check  fleetCheck  `cmd:"" help:"Compare the settings of two controllers of a fleet, and list those that must be the same but differ."`
		Drain  fleetDrain  `cmd:"" help:"Order all controllers to send no new dispatches to an engine, whatever the lists of engines say."`
		Resume fleetResume `cmd:"" help:"Revoke a drain."`
		Budget fleetBudget `cmd:"" help:"Override a team's budget in the settings, or revoke that."`
		Orders fleetOrders `cmd:"" help:"List the orders in force, and the controllers that have not applied them yet."`
	} `cmd:"" help:"Inspect and control a fleet."`
	Duties struct {
		List    dutiesList    `cmd:"" help:"Show which controllers own the slices of each duty, and the occurrences that an operator has to settle."`
		History dutiesHistory `cmd:"" help:"Show the latest occurrences of scheduled jobs."`
		Settle  dutiesSettle  `cmd:"" help:"Settle an occurrence that may have run."`
	} `cmd:"" help:"Inspect the work that the controllers of a fleet share."`
	Store struct {
		Check   storeCheck   `cmd:"" help:"Check whether a store can be read, and list what is damaged."`
		Show    storeShow    `cmd:"" help:"List the state of jobs by the keys of clients."`
		Compact storeCompact `cmd:"" help:"Compact a store that no controller has open."`
	} `cmd:"" help:"Inspect and compact a store, which survives crashes of its controller."`
	Demo    demoCommand    `cmd:"" help:"Run a controller with simulated engines for some seconds, and report the results of its jobs."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

// The exit codes.
const (
	exitOK     = 0
	exitFailed = 1 // the command failed, for example because of an invalid file
	exitUsage  = 2 // invalid command line
)

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

// execute executes a command line and returns the exit code.
func execute(args []string, out, errs io.Writer) (code int) {
	type exit int // panic value with which kong's exit function returns here
	defer func() {
		if p := recover(); p != nil {
			e, ok := p.(exit)
			if !ok {
				panic(p)
			}
			code = int(e)
		}
	}()
	parser, err := kong.New(&commands{}, kong.Name("copperrock"), kong.Writers(out, errs),
		kong.Description("A front for query engines with limited memory: it admits jobs by the memory they need, places them on engines and gives each one final answer."),
		kong.Exit(func(code int) { panic(exit(code)) }), kong.UsageOnError(), kong.BindTo(out, (*io.Writer)(nil)),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		panic(err) // commands is not declared correctly
	}
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(errs, "copperrock: %v\ncopperrock --help tells what there is\n", err)
		return exitUsage
	}
	if err := command.Run(); err != nil {
		if !errors.Is(err, errReported) {
			fmt.Fprintln(errs, "copperrock:", err)
		}
		return exitFailed
	}
	return exitOK
}

// errReported is returned by a command that has printed its errors itself.
var errReported = errors.New("already reported")
