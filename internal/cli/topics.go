package cli

import (
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func exitCodesTopic() *cobra.Command {
	return &cobra.Command{
		Use:   "exit-codes",
		Short: "Exit codes of all commands",
		Long: `Exit codes:
  0  done
  1  internal error
  2  wrong use: unknown command or flag, bad value, malformed file
  3  not found: row, request, step, VM
  4  conflict: another edit came first, an edit id or key was reused or is too old
  5  unavailable: no VM answered, no quorum, overload, timeout; nothing was changed
  6  denied: certificate or role refused
  7  outcome unknown: the command may have taken effect; resend it with the same edit id
  8  settings or TLS material invalid
  9  storage failed or is corrupt`,
	}
}

func connectionTopic() *cobra.Command {
	return &cobra.Command{
		Use:   "connection",
		Short: "How commands connect to a deployment",
		Long: `Commands that talk to a deployment connect to the internal address ([listen] internal) of a VM with mutual
TLS, as an operator:

  flag       environment           meaning
  --server   FILBERTLEDGE_SERVER   IP:PORT[,IP:PORT...]; the next is tried when one does not answer
  --ca       FILBERTLEDGE_CA       ca.pem of the deployment
  --cert     FILBERTLEDGE_CERT     certificate with the role operator
  --key      FILBERTLEDGE_KEY      its key

filbertledge keys issue --role operator --name NAME creates certificate and key.`,
	}
}

// buildInfo is the output of the version command.
type buildInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

func newBuildInfo(name string) buildInfo {
	v := buildInfo{Version: name, Revision: "unknown revision", Go: runtime.Version()}
	if v.Version == "" {
		v.Version = "development"
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			v.Revision = setting.Value
		}
	}
	return v
}
