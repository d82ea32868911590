// Package cli is the command line of filbertledge: the server process, and the tools of operators.
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

// Options are what the command line needs from its program.
type Options struct {
	// Serve runs a VM until ctx ends and its graceful shutdown is complete.
	Serve func(ctx context.Context, c *config.Config) error
	// Commands are further commands, such as those that run on a platform.
	Commands []*cobra.Command
	// Version of the build, for the version command.
	Version string
	Stdin   io.Reader
	Stdout  io.Writer
	Stderr  io.Writer
}

// Main runs the command line of this process and returns its exit code. SIGINT and SIGTERM end the context of
// the command; a second signal ends the process at once.
func Main(o Options) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop)
	o.Stdin, o.Stdout, o.Stderr = os.Stdin, os.Stdout, os.Stderr
	return Run(ctx, o, os.Args[1:])
}

// Run runs one command and returns its exit code.
func Run(ctx context.Context, o Options, args []string) int {
	a := &app{Options: o}
	root := a.root()
	root.SetArgs(args)
	root.SetIn(o.Stdin)
	root.SetOut(o.Stdout)
	root.SetErr(o.Stderr)
	err := typed(root.ExecuteContext(ctx))
	if err != nil {
		a.printError(err)
	}
	return errs.ExitCode(err)
}

// typed gives a kind to errors of cobra, which are all about the command line.
func typed(err error) error {
	var known *errs.Error
	if err == nil || errors.As(err, &known) {
		return err
	}
	return errs.Wrap(err, errs.InvalidArgument, "run the command with --help", "wrong use")
}

// app holds the options and the global flags of one run.
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

// group returns a command that only has subcommands. Without one it prints its help, and an unknown one is an
// error: cobra reports that for the root command only.
func group(use, short string, commands ...*cobra.Command) *cobra.Command {
	g := &cobra.Command{Use: use, Short: short, RunE: showHelp}
	g.Args = func(cmd *cobra.Command, args []string) error {
		if len(args) == 0 {
			return nil
		}
		return errs.New(errs.InvalidArgument, "run "+cmd.CommandPath()+" --help", "%s has no command %q", cmd.CommandPath(), args[0])
	}
	g.AddCommand(commands...)
	return g
}

// jsonError is the form of an error on stderr with --output json.
type jsonError struct {
	Error   errs.Kind `json:"error"`
	Message string    `json:"message"`
	Remedy  string    `json:"remedy,omitempty"`
}

func (a *app) printError(err error) {
	var e *errs.Error
	errors.As(err, &e) // typed has made sure that there is one
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
			v := buildVersion(a.Version)
			return a.print(v, func(w io.Writer) { fmt.Fprintf(w, "filbertledge %s (%s, %s)\n", v.Version, v.Revision, v.Go) })
		},
	}
}
