// Package cli implements the filbertledge command line, which runs a VM of the service and provides the operators'
// tools.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"filbertledge/internal/config"
	"filbertledge/internal/errs"
)

// Options connects the command line to the program that contains it.
type Options struct {
	// Serve runs a VM until ctx ends, and returns after its graceful shutdown. It is nil if the program cannot run a
	// VM.
	Serve func(ctx context.Context, c *config.Config) error
	// Commands are additional commands, for example those for a specific platform.
	Commands []*cobra.Command
	// Version is the version that the version command prints. If it is empty, the command prints "development".
	Version string
	Stdin   io.Reader
	Stdout  io.Writer
	Stderr  io.Writer
}

// Main runs the command line of this process and returns its exit code. The first SIGINT or SIGTERM cancels the context
// of the command; a second one terminates the process immediately.
func Main(o Options) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop)
	o.Stdin, o.Stdout, o.Stderr = os.Stdin, os.Stdout, os.Stderr
	return Run(ctx, o, os.Args[1:])
}

// Run executes one command and returns its exit code.
func Run(ctx context.Context, o Options, args []string) int {
	a := &app{Options: o}
	root := a.root()
	root.SetArgs(args)
	root.SetIn(o.Stdin)
	root.SetOut(o.Stdout)
	root.SetErr(o.Stderr)
	err := withErrorKind(root.ExecuteContext(ctx))
	if err != nil {
		a.printError(err)
	}
	return errs.ExitCode(err)
}

// withErrorKind gives errors without a kind the kind InvalidArgument. Such errors come from cobra, which returns them
// for invalid command lines.
func withErrorKind(err error) error {
	var known *errs.Error
	if err == nil || errors.As(err, &known) {
		return err
	}
	return errs.Wrap(err, errs.InvalidArgument, "run the command with --help", "invalid usage")
}

// app holds the options and the global flags of one command execution.
type app struct {
	Options
	format  string
	timeout time.Duration
	connect connectFlags
}

const (
	formatTable = "table"
	formatJSON  = "json"
)

func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use:           "filbertledge",
		Short:         "Rollout service for reinforcement learning",
		Long:          "Filbertledge stands between callers and backend servers. Operators control it by editing one table.",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          showHelp,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if a.format != formatTable && a.format != formatJSON {
				return errs.New(errs.InvalidArgument, "use table or json", "output %q does not exist", a.format)
			}
			return nil
		},
	}
	flags := root.PersistentFlags()
	flags.StringVarP(&a.format, "output", "o", formatTable, "output format: table or json")
	flags.DurationVar(&a.timeout, "timeout", 30*time.Second, "longest wait for an answer of the VMs")
	a.connect.register(flags)
	root.AddCommand(a.serveCommand(), a.configCommand(), a.keysCommand(), a.tableCommand(), a.statusCommand(),
		a.serversCommand(), a.requestsCommand(), a.samplesCommand(), a.timelineCommand(), a.drainCommand(),
		a.versionCommand(), exitCodesTopic(), connectionTopic())
	root.AddCommand(a.Commands...)
	return root
}

func showHelp(cmd *cobra.Command, _ []string) error { return cmd.Help() }

// commandGroup returns a command that only has subcommands. Without arguments it prints its help. An unknown subcommand
// is an error, which cobra by itself reports only for the root command.
func commandGroup(use, short string, commands ...*cobra.Command) *cobra.Command {
	command := &cobra.Command{Use: use, Short: short, RunE: showHelp}
	command.Args = func(cmd *cobra.Command, args []string) error {
		if len(args) == 0 {
			return nil
		}
		return errs.New(errs.InvalidArgument, "run "+cmd.CommandPath()+" --help", "%s has no command %q", cmd.CommandPath(), args[0])
	}
	command.AddCommand(commands...)
	return command
}

// jsonError is the format in which errors are written to stderr with --output json.
type jsonError struct {
	Error   errs.Kind `json:"error"`
	Message string    `json:"message"`
	Remedy  string    `json:"remedy,omitempty"`
}

func (a *app) printError(err error) {
	var e *errs.Error
	errors.As(err, &e) // always succeeds, because withErrorKind has wrapped the error
	message := e.Message
	if cause := e.Unwrap(); cause != nil {
		message = fmt.Sprintf("%s: %v", message, cause)
		var list config.Problems
		if errors.As(cause, &list) {
			message = fmt.Sprintf("%s:\n%v", e.Message, list)
		}
	}
	if a.format == formatJSON {
		_ = json.NewEncoder(a.Stderr).Encode(jsonError{e.Kind, message, e.Remedy})
		return
	}
	fmt.Fprintf(a.Stderr, "filbertledge: %s\n", message)
	if e.Remedy != "" {
		fmt.Fprintf(a.Stderr, "remedy: %s\n", e.Remedy)
	}
}

func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this build",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			v := newBuildInfo(a.Version)
			return a.print(v, func(w io.Writer) { fmt.Fprintf(w, "filbertledge %s (%s, %s)\n", v.Version, v.Revision, v.Go) })
		},
	}
}
