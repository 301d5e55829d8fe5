// Command copperrock is one gateway: it takes clients' jobs and has the decision module place them on engines.
// Without a sub-command it runs.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// commands are the command line.
type commands struct {
	Run     runCommand   `cmd:"" default:"withargs" help:"Serve until SIGTERM. This is what the program does without a command."`
	Check   checkCommand `cmd:"" help:"Check the operator's settings, and the list of engines that they name."`
	Engines struct {
		Check enginesCheck `cmd:"" help:"Check a list of engines."`
		Diff  enginesDiff  `cmd:"" help:"Tell what leads from one list of engines to another, and whether it would be taken."`
	} `cmd:"" help:"Work on files that list engines."`
	Fleet struct {
		Init   fleetInit   `cmd:"" help:"Make this voter's votes in a new fleet. It is never done for a fleet that runs."`
		Status fleetStatus `cmd:"" help:"Tell who lives, who leads, and each quantity's whole, parts and use."`
		Check  fleetCheck  `cmd:"" help:"Compare the settings of two controllers and name what disagrees."`
		Drain  fleetDrain  `cmd:"" help:"Have every controller send nothing new to an engine, whatever the lists say."`
		Resume fleetResume `cmd:"" help:"Take a drain back."`
		Budget fleetBudget `cmd:"" help:"Set a team's budget over the settings', or let those hold again."`
		Orders fleetOrders `cmd:"" help:"List the orders that hold, and who has not taken them up yet."`
	} `cmd:"" help:"Work on the fleet that the settings name."`
	Duties struct {
		List    dutiesList    `cmd:"" help:"Tell who owns what of the work done as one, and what waits for a person's word."`
		History dutiesHistory `cmd:"" help:"Tell the latest occurrences of scheduled jobs."`
		Settle  dutiesSettle  `cmd:"" help:"Say what became of an occurrence that may have run."`
	} `cmd:"" help:"Work that the fleet does as one."`
	Store struct {
		Check   storeCheck   `cmd:"" help:"Tell whether a store can be read, and what is wrong with it."`
		Show    storeShow    `cmd:"" help:"List what is kept under clients' keys."`
		Compact storeCompact `cmd:"" help:"Write a store anew that no controller has open."`
	} `cmd:"" help:"Work on what outlives a crash."`
	Demo    demoCommand    `cmd:"" help:"Run a controller among stand-in engines for some seconds, and tell what became of its jobs."`
	Version versionCommand `cmd:"" help:"Tell the version."`
}

// The ways in which the program ends.
const (
	exitOK     = 0
	exitFailed = 1 // a file, or the run
	exitUsage  = 2 // the command line
)

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

// execute carries out a command line.
func execute(args []string, out, errs io.Writer) (code int) {
	type ended int
	defer func() {
		if p := recover(); p != nil {
			e, ok := p.(ended)
			if !ok {
				panic(p)
			}
			code = int(e)
		}
	}()
	parser, err := kong.New(&commands{}, kong.Name("copperrock"), kong.Writers(out, errs),
		kong.Description("A front for query engines with limited memory: it admits jobs by the memory they need, places them on engines and gives each one final answer."),
		kong.Exit(func(code int) { panic(ended(code)) }), kong.UsageOnError(), kong.BindTo(out, (*io.Writer)(nil)),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		panic(err) // the declaration above is wrong
	}
	line, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(errs, "copperrock: %v\ncopperrock --help tells what there is\n", err)
		return exitUsage
	}
	if err := line.Run(); err != nil {
		if !errors.Is(err, errReported) {
			fmt.Fprintln(errs, "copperrock:", err)
		}
		return exitFailed
	}
	return exitOK
}

// errReported ends a command that has told what is wrong.
var errReported = errors.New("told")
