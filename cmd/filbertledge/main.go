// Command filbertledge is the rollout service. The same binary is the server that runs on each VM and the
// command-line client for operators.
package main

import (
	"os"

	"filbertledge/internal/cli"
	"filbertledge/internal/server"
	"filbertledge/platform"
)

// version is set by the linker in release builds.
var version string

func main() {
	os.Exit(cli.Main(cli.Options{Version: version, Serve: server.Serve, Commands: platform.Commands()}))
}
